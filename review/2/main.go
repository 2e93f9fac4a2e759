// Case 2: writes to one piece that a client sends one behind the other run in another order.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"poppyarch-review/kit"
)

const (
	rounds   = 10
	commands = 3
	work     = 30 * time.Millisecond // of one command at the disk node; later commands wait for earlier ones in any case
	gap      = 20 * time.Millisecond // between two commands with TROUBLE=0
)

func main() { kit.Main(run) }

func run(c *kit.Case) int {
	settings := kit.Settings(map[string]any{"name": "job-write", "repeat": "retryable", "by_arrival": true, "importance": 2.0,
		"aim_ns": 600000000, "give_up_ns": 5000000000, "group": "all", "dedup_window_ns": 5000000000, "late_worth": 0.2, "stream": false})
	settings["contract"].(map[string]any)["key_quiet_ns"] = 200000000
	node := c.StartBlockNode("node", 0, work)
	_, discovery := c.StartDiscovery(kit.Target{UID: "s-0", Endpoint: node.Addr, AZ: "olten-room", Model: "m1", State: "up", CapacityHint: 1})
	_, addr := c.StartBlockBroker(discovery, settings)
	time.Sleep(500 * time.Millisecond) // the list of disk nodes is read at the start

	conn, err := net.Dial("tcp", addr)
	kit.Must(err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	outOfOrder, lostData := 0, 0
	for round := range rounds {
		piece := fmt.Sprintf("7f3a9c21e0b4%04x", round)
		var all []string
		for k := range commands {
			all = append(all, kit.Encode("BLK.WRITE", piece, fmt.Sprintf("%012x%04x", round+1, k),
				"c=job-write,t=basis,d=4000,volume=00000003b4d60021,units=1,shard=0,hosts=1", fmt.Sprintf("version-%d", k)))
		}
		if c.Trouble {
			_, err = io.WriteString(conn, strings.Join(all, "")) // many commands at once
			kit.Must(err)
			c.Logf("client: sent versions 0 to %d of %s at once, one behind the other", commands-1, piece)
		}
		for k := 0; k < commands && !c.Trouble; k++ {
			_, err = io.WriteString(conn, all[k])
			kit.Must(err)
			c.Logf("client: sent version %d of %s", k, piece)
			time.Sleep(gap)
		}
		for k := range commands {
			_ = conn.SetReadDeadline(time.Now().Add(6 * time.Second))
			answer, err := kit.ReadAnswer(reader)
			kit.Must(err)
			c.Logf("client: got  %q for version %d of %s", answer, k, piece)
		}
		var order []string
		for _, cmd := range node.Ran() {
			if cmd.Piece == piece {
				order = append(order, cmd.Body)
			}
		}
		if fmt.Sprint(order) != fmt.Sprint(sorted(order)) {
			outOfOrder++
			c.Logf("%s: the broker took version 0 first, but sent %v", piece, order)
		}
		if len(order) == commands && node.Data(piece) != fmt.Sprintf("version-%d", commands-1) {
			lostData++
			c.Logf("%s: all were served, but the piece holds %q", piece, node.Data(piece))
		}
	}
	c.Logf("%d of %d rounds out of order, in %d the last version is lost", outOfOrder, rounds, lostData)
	if outOfOrder > 0 {
		c.Logf("result: rule broken")
		return kit.Broken
	}
	c.Logf("result: rule held")
	return kit.Held
}

func sorted(list []string) []string {
	out := append([]string(nil), list...)
	for i := range out {
		for k := i + 1; k < len(out); k++ {
			if out[k] < out[i] {
				out[i], out[k] = out[k], out[i]
			}
		}
	}
	return out
}
