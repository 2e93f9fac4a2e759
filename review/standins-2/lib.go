// Program standins-2 holds the stand-ins and the drivers of the cases 6 to 10 of the review. Each subcommand plays one
// case: it starts the broker with the run line of the deploy file, plays clients, storage nodes and discovery, writes
// record.txt, and exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bench is one run of a case.
type bench struct {
	root    string // root of the repository
	caseDir string
	tmp     string
	trouble bool

	start  time.Time
	mu     sync.Mutex
	record *os.File
	broken []string
	procs  []*exec.Cmd
}

func newBench(caseDir string) *bench {
	b := &bench{caseDir: caseDir, trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if b.root, err = os.Getwd(); err != nil {
		b.cannot("%v", err)
	}
	if b.record, err = os.Create(filepath.Join(caseDir, "record.txt")); err != nil {
		b.cannot("%v", err)
	}
	if b.tmp, err = os.MkdirTemp("", "review-"); err != nil {
		b.cannot("%v", err)
	}
	go func() {
		time.Sleep(110 * time.Second)
		b.cannot("the case took too long")
	}()
	b.log("begin, trouble %v", b.trouble)
	return b
}

// log writes a line with the time since the start in seconds.
func (b *bench) log(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.record != nil {
		fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.start).Seconds(), fmt.Sprintf(format, args...))
	}
}

// breaks records that the rule was broken.
func (b *bench) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	b.log("BROKEN: %s", text)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken = append(b.broken, text)
}

// cannot ends a case that could not run.
func (b *bench) cannot(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	b.log("COULD NOT RUN: %s", text)
	fmt.Println("could not run:", text)
	b.clean()
	os.Exit(2)
}

// finish ends the case with the verdict.
func (b *bench) finish() {
	b.clean()
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.broken) > 0 {
		fmt.Printf("broken: %d times, first: %s\n", len(b.broken), b.broken[0])
		os.Exit(1)
	}
	fmt.Println("held")
	os.Exit(0)
}

func (b *bench) clean() {
	b.mu.Lock()
	procs := b.procs
	b.mu.Unlock()
	for _, p := range procs {
		_ = p.Process.Kill()
		_, _ = p.Process.Wait()
	}
	if b.tmp != "" {
		_ = os.RemoveAll(b.tmp)
	}
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// startBroker starts the broker as the platform does, with a configuration, and returns its process.
func (b *bench) startBroker(name string, config map[string]any) *exec.Cmd {
	text, err := os.ReadFile(filepath.Join(b.root, "deploy", "balancer.toml"))
	if err != nil {
		b.cannot("%v", err)
	}
	m := runLine.FindSubmatch(text)
	if m == nil {
		b.cannot("the deploy file has no run line")
	}
	encoded, _ := json.MarshalIndent(config, "", " ")
	path := filepath.Join(b.tmp, name+".json")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		b.cannot("%v", err)
	}
	log, err := os.Create(filepath.Join(b.tmp, name+".log"))
	if err != nil {
		b.cannot("%v", err)
	}
	cmd := exec.Command("/bin/sh", "-c", string(m[1]))
	cmd.Dir = b.root
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "LB_CONFIG="+path, "TMPDIR="+b.tmp)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		b.cannot("start: %v", err)
	}
	b.mu.Lock()
	b.procs = append(b.procs, cmd)
	b.mu.Unlock()
	b.log("broker %s started, pid %d", name, cmd.Process.Pid)
	return cmd
}

// copyLog adds the end of a broker's log to the record.
func (b *bench) copyLog(name string, lines int) {
	text, _ := os.ReadFile(filepath.Join(b.tmp, name+".log"))
	all := strings.Split(strings.TrimSpace(string(text)), "\n")
	for _, l := range all[max(len(all)-lines, 0):] {
		b.log("log of %s: %s", name, l)
	}
}

// freeAddr returns a free loopback address.
func (b *bench) freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.cannot("%v", err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func (b *bench) listen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.cannot("%v", err)
	}
	return ln
}

// awaitPong waits until the broker answers PING.
func (b *bench) awaitPong(addr string) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(time.Now().Add(time.Second))
		_, _ = io.WriteString(c, "*1\r\n$4\r\nPING\r\n")
		line, err := bufio.NewReader(c).ReadString('\n')
		_ = c.Close()
		if err == nil && line == "+PONG\r\n" {
			b.log("broker answers PING")
			return
		}
	}
	b.cannot("the broker does not answer PING")
}

// settings returns the platform's settings of a small deployment, as examples/config.json has them.
func settings(shards int) map[string]any {
	second := int64(1_000_000_000)
	return map[string]any{
		"balancers": 1,
		"discovery": "ask",
		"zones":     []string{"room"},
		"classes": []map[string]any{
			{"name": "artwork-read", "aim_ns": 400_000_000, "give_up_ns": 5 * second / 2, "importance": 2, "repeat": "retryable", "late_worth": 0.1},
			{"name": "job-new", "aim_ns": 600_000_000, "give_up_ns": 5 * second, "importance": 2, "repeat": "fragile", "late_worth": 0.2},
			{"name": "object-read", "aim_ns": 2 * second, "give_up_ns": 10 * second, "importance": 1, "repeat": "retryable"},
			{"name": "object-write", "aim_ns": 5 * second, "give_up_ns": 20 * second, "importance": 1, "repeat": "retryable"},
			{"name": "object-complete", "aim_ns": 5 * second, "give_up_ns": 20 * second, "importance": 1, "repeat": "fragile"},
		},
		"policies": []map[string]any{
			{"name": "basis", "shares": 1, "value_factor": 0.8, "usual_rate": 50, "floor_rate": 15},
			{"name": "express", "shares": 3, "value_factor": 1.5, "usual_rate": 150, "floor_rate": 180},
		},
		"contract": map[string]any{"answer_slack_ns": 8_000_000, "ask_within_ns": 10 * second, "cold_from": 0.18,
			"drain_grace_ns": 500_000_000, "fall_multiple": 3, "tip_after_ns": second, "warm_after_ns": 15 * second},
		"limits": map[string]any{"cancel": true, "send_cap": 3, "connect_timeout_ns": 250_000_000, "keepalive_ns": 30 * second,
			"retry_after": true, "max_retry_after_ns": 2 * second, "may_probe": true, "second_copies": true, "streams_per_conn": 1},
		"specifics": map[string]any{"mean_units": 2.16, "max_units": 8, "n_shards": shards, "cold_bears": 13, "fair_worth": 0.3},
	}
}

// readCommand reads an array of bulk strings.
func readCommand(r *bufio.Reader) ([]string, error) {
	n, err := readLength(r, '*')
	if err != nil {
		return nil, err
	}
	args := make([]string, n)
	for i := range args {
		size, err := readLength(r, '$')
		if err != nil {
			return nil, err
		}
		buf := make([]byte, size+2)
		if _, err := io.ReadFull(r, buf); err != nil {
			return nil, err
		}
		args[i] = string(buf[:size])
	}
	return args, nil
}

func readLength(r *bufio.Reader, kind byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" || line[0] != kind {
		return 0, fmt.Errorf("expected %q, got %q", kind, line)
	}
	return strconv.Atoi(line[1:])
}

func encodeCommand(args ...string) string {
	var s strings.Builder
	fmt.Fprintf(&s, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&s, "$%d\r\n%s\r\n", len(a), a)
	}
	return s.String()
}

// param returns the value of a name in a command's list.
func param(list, name string) string {
	for _, p := range strings.Split(list, ",") {
		if v, ok := strings.CutPrefix(p, name+"="); ok {
			return v
		}
	}
	return ""
}

// blockNode is a storage node of the platform's protocol. It works on one command at a time for the time that work
// returns, and answers with a value that names the piece and the id.
type blockNode struct {
	b    *bench
	id   string
	ln   net.Listener
	on   func(args []string, firstByte time.Time) // called for each whole command
	work time.Duration
	busy sync.Mutex
}

func (b *bench) startBlockNode(id string, work time.Duration, on func([]string, time.Time)) *blockNode {
	n := &blockNode{b: b, id: id, ln: b.listen(), on: on, work: work}
	go func() {
		for {
			c, err := n.ln.Accept()
			if err != nil {
				return
			}
			go n.serve(c)
		}
	}()
	return n
}

func (n *blockNode) addr() string { return n.ln.Addr().String() }

func (n *blockNode) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReaderSize(c, 128<<10)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		firstByte := time.Now()
		args, err := readCommand(r)
		if err != nil {
			return
		}
		if len(args) < 4 || !strings.HasPrefix(args[0], "BLK.") {
			_, _ = io.WriteString(c, "+PONG\r\n")
			continue
		}
		if n.on != nil {
			n.on(args, firstByte)
		}
		if n.work > 0 {
			n.busy.Lock()
			time.Sleep(n.work)
			n.busy.Unlock()
		}
		value := "value of " + args[1] + " for " + args[2]
		if _, err := fmt.Fprintf(c, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value); err != nil {
			return
		}
	}
}

// client is one connection of a client of the platform's protocol.
type client struct {
	net.Conn
	r *bufio.Reader
}

func dialClient(addr string) (*client, error) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &client{Conn: c, r: bufio.NewReader(c)}, nil
}

// readReply reads one answer and returns its first line, and the value if it is served.
func (c *client) readReply() (line, value string, err error) {
	if line, err = c.r.ReadString('\n'); err != nil {
		return "", "", err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" || line[0] != '$' {
		return line, "", nil
	}
	size, err := strconv.Atoi(line[1:])
	if err != nil || size < 0 {
		return line, "", errors.New("bad length " + line)
	}
	buf := make([]byte, size+2)
	if _, err := io.ReadFull(c.r, buf); err != nil {
		return line, "", err
	}
	return line, string(buf[:size]), nil
}

// readCommandOf returns a read of one volume at one shard.
func readCommandOf(piece, id string, deadline time.Duration, volume, shard int) string {
	return encodeCommand("BLK.READ", piece, id, fmt.Sprintf("c=artwork-read,t=basis,d=%d,volume=%016x,units=1,shard=%d,hosts=1",
		deadline.Milliseconds(), volume, shard))
}
