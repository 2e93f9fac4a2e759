package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { plays["memory"] = playMemory }

// playMemory: some answers of the storage nodes are spoilt: a value is said to have 3 GB and keeps coming.
func playMemory(b *bench) {
	const (
		memoryMB    = 32
		nodes       = 14
		clients     = 160
		pause       = 800 * time.Millisecond // of each client between two requests: under 200 requests a second in all
		spoiltShare = 0.25
		length      = 25 * time.Second
	)
	var spoils atomic.Bool
	var spoilt, good atomic.Int64
	var targets []target
	for i := range nodes {
		ln := b.listen()
		random := rand.New(rand.NewPCG(uint64(i), 42))
		var mu sync.Mutex
		go func() {
			_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				time.Sleep(10 * time.Millisecond)
				mu.Lock()
				drawn := random.Float64()
				mu.Unlock()
				if !spoils.Load() || drawn >= spoiltShare {
					good.Add(1)
					w.Header().Set("ETag", `"00000000000000000000000000000000"`)
					return
				}
				spoilt.Add(1)
				b.log("node %d: the answer to %s %s is spoilt", i, r.Method, r.URL.Path)
				w.Header().Set("Content-Length", "3000000000")
				chunk := make([]byte, 24<<10)
				for range 100 { // 10 s at most
					if _, err := w.Write(chunk); err != nil {
						return
					}
					if http.NewResponseController(w).Flush() != nil {
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
			}))
		}()
		targets = append(targets, target{UID: fmt.Sprintf("s-%d", i), Endpoint: ln.Addr().String(), Zone: "room", Model: "node-full",
			Shard: i, State: "up", Capacity: 1})
	}
	d := b.startDiscovery(targets...)
	addr := b.freeAddr()
	broker := b.startBroker("n1", map[string]any{
		"name": "n1", "discovery": d.addr(), "limits": map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": 1024},
		"settings": settings(nodes),
		"object": map[string]any{"listen": addr, "unit_bytes": 1 << 20, "read_class": "object-read", "write_class": "object-write",
			"complete_class": "object-complete", "default_plan": "express"},
	})
	b.awaitHealth(addr)
	time.Sleep(time.Second)
	begin := time.Now()
	stop := begin.Add(length)
	transport := &http.Transport{MaxIdleConnsPerHost: clients}
	var serving sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	for k := range clients {
		serving.Go(func() {
			time.Sleep(time.Duration(k) * pause / clients)
			for i := 0; time.Now().Before(stop); i++ {
				r, _ := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/b%d/k%d-%d", addr, k%20, k, i), strings.NewReader("a job record"))
				text := ""
				resp, err := transport.RoundTrip(r)
				if err != nil {
					text = err.Error()
				} else {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					text = resp.Status
				}
				mu.Lock()
				counts[text]++
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	time.Sleep(5 * time.Second)
	spoils.Store(b.trouble)
	most := 0.0
	for time.Now().Before(stop) {
		anonymous, resident := memoryOf(broker.Process.Pid)
		if anonymous == 0 {
			b.cannot("the memory of the broker cannot be read, or it has ended")
		}
		if anonymous > most+1 {
			b.log("%.1f s: the broker's memory is %.1f MB, %.1f with files", time.Since(begin).Seconds(), anonymous, resident)
		}
		most = max(most, anonymous)
		time.Sleep(50 * time.Millisecond)
	}
	serving.Wait()
	b.log("answers to the clients %v; nodes: %d good answers, %d spoilt; most memory without files %.1f MB", counts, good.Load(), spoilt.Load(), most)
	if most > memoryMB {
		b.breaks("the broker took %.1f MB without files, its limit is %d MB", most, memoryMB)
	}
	b.copyLog("n1", 5)
	b.finish()
}

// memoryOf returns a process's anonymous memory and its whole resident memory in MB.
func memoryOf(pid int) (anonymous, resident float64) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kb, _ := strconv.ParseFloat(fields[1], 64)
		switch fields[0] {
		case "RssAnon:":
			anonymous = kb / 1024
		case "VmRSS:":
			resident = kb / 1024
		}
	}
	return anonymous, resident
}
