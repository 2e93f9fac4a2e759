package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { plays["malformed"] = playMalformed }

// playMalformed: a list in a file drains a storage node that discovery has up. 3 s later its row becomes malformed.
func playMalformed(b *bench) {
	const grace = 550 * time.Millisecond // drain_grace_ns and 50 ms of the protocol page
	type arrival struct {
		at time.Time
		id string
	}
	var mu sync.Mutex
	arrivals := map[string][]arrival{}
	var targets []target
	row := func(i int, state string) string {
		t := targets[i]
		return fmt.Sprintf("%s,%s,%d,room,%s,node-full\n", t.UID, t.Endpoint, t.Shard, state)
	}
	for i, id := range []string{"s-1", "s-2", "s-3"} {
		n := b.startBlockNode(id, 2*time.Millisecond, func(args []string, firstByte time.Time) {
			mu.Lock()
			defer mu.Unlock()
			arrivals[id] = append(arrivals[id], arrival{firstByte, args[2]})
		})
		targets = append(targets, target{UID: id, Endpoint: n.addr(), Zone: "room", Model: "node-full", Shard: min(i, 1), State: "up", Capacity: 1})
	}
	list := filepath.Join(b.tmp, "nodes.csv")
	write := func(text, why string) {
		// As configuration tools do: a whole new file takes the place of the old one.
		if err := os.WriteFile(list+".new", []byte(text), 0o600); err != nil {
			b.cannot("%v", err)
		}
		if err := os.Rename(list+".new", list); err != nil {
			b.cannot("%v", err)
		}
		b.log("operator: %s\n%s", why, text)
	}
	const header = "id,addr,shard,zone,state,kind\n"
	write(header+row(0, "up")+row(1, "up")+row(2, "up"), "the list in the beginning")
	d := b.startDiscovery(targets...)
	addr := b.freeAddr()
	b.startBroker("n1", map[string]any{
		"name": "n1", "listen": addr, "discovery": d.addr(), "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"settings": settings(2), "nodes": map[string]any{"files": []string{list}},
	})
	b.awaitPong(addr)
	stop := time.Now().Add(14 * time.Second)
	var clients sync.WaitGroup
	for k := range 4 {
		clients.Go(func() {
			c, err := dialClient(addr)
			if err != nil {
				b.cannot("%v", err)
			}
			defer c.Close()
			for i := 0; time.Now().Before(stop); i++ {
				id := fmt.Sprintf("c%d-%d", k, i)
				if _, err := c.Write([]byte(readCommandOf("00000000000000aa", id, 2500*time.Millisecond, 100+k, i%2))); err != nil {
					b.log("client %d: %v", k, err)
					return
				}
				line, _, err := c.readReply()
				b.log("request %s at shard %d: %s %v", id, i%2, line, err)
				if err != nil {
					return
				}
				time.Sleep(25 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	write(header+row(0, "up")+row(1, "draining")+row(2, "up"), "s-2 drains")
	told := time.Now()
	time.Sleep(3 * time.Second)
	if b.trouble {
		malformed := strings.TrimSuffix(row(1, "draining"), "\n") + ",\n"
		write(header+row(0, "up")+malformed+row(2, "up"), "the row of the draining node gets one comma too many")
	}
	clients.Wait()
	mu.Lock()
	late := 0
	for _, a := range arrivals["s-2"] {
		if a.at.After(told.Add(grace)) {
			late++
			if late <= 5 {
				b.breaks("request %s was sent to s-2 %.3f s after the list said that it drains", a.id, a.at.Sub(told).Seconds())
			}
		}
	}
	b.log("s-1, s-2 and s-3 got %d, %d and %d commands, s-2 %d of them after the grace",
		len(arrivals["s-1"]), len(arrivals["s-2"]), len(arrivals["s-3"]), late)
	mu.Unlock()
	b.copyLog("n1", 12)
	b.finish()
}
