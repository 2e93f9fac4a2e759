package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// playRemoved: discovery drains a storage node and removes it while a list in a file still has its row.
func playRemoved(b *bench) {
	const grace = 550 * time.Millisecond // drain_grace_ns and 50 ms of the protocol page
	type arrival struct {
		at time.Time
		id string
	}
	var mu sync.Mutex
	arrivals := map[string][]arrival{}
	var targets []target
	rows := "id,addr,shard,zone,state,kind\n"
	for i, id := range []string{"s-1", "s-2", "s-3"} {
		n := b.startBlockNode(id, 2*time.Millisecond, func(args []string, firstByte time.Time) {
			mu.Lock()
			defer mu.Unlock()
			arrivals[id] = append(arrivals[id], arrival{firstByte, args[2]})
		})
		shard := min(i, 1) // s-2 and s-3 hold shard 1: s-3 is the successor of s-2
		targets = append(targets, target{UID: id, Endpoint: n.addr(), Zone: "room", Model: "node-full", Shard: shard, State: "up", Capacity: 1})
		rows += fmt.Sprintf("%s,%s,%d,room,up,node-full\n", id, n.addr(), shard)
	}
	list := filepath.Join(b.tmp, "nodes.csv")
	if err := os.WriteFile(list, []byte(rows), 0o600); err != nil {
		b.cannot("%v", err)
	}
	b.log("nodes.csv:\n%s", rows)
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
	if b.trouble {
		t := targets[1]
		t.State = "draining"
		d.set(t)
		time.Sleep(3 * time.Second)
		t.State = "removed"
		d.set(t)
	}
	clients.Wait()
	mu.Lock()
	for id, list := range arrivals {
		b.log("%s got %d commands", id, len(list))
	}
	told, ok := d.toldAt("s-2", "draining")
	if b.trouble && !ok {
		b.cannot("the broker was never told")
	}
	late := 0
	for _, a := range arrivals["s-2"] {
		if ok && a.at.After(told.Add(grace)) {
			late++
			if late <= 5 {
				b.breaks("request %s was sent to s-2 %.3f s after the broker was told that it drains", a.id, a.at.Sub(told).Seconds())
			}
		}
	}
	b.log("%d commands were sent to s-2 after the grace", late)
	mu.Unlock()
	b.copyLog("n1", 12)
	b.finish()
}

func init() { plays["removed"] = playRemoved }
