package kit

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Command is a command that a disk node got.
type Command struct {
	Name, Piece, ID string
	Fields          map[string]string
	Body            string
}

// BlockNode is a stand-in of a disk node on the block protocol.
type BlockNode struct {
	Name string
	Addr string

	// Work is how long a command takes. Commands run one after the other, in the order in which their last byte came.
	Work time.Duration

	c     *Case
	turn  sync.Mutex // held while a command runs
	mu    sync.Mutex
	ran   []Command
	data  map[string]string
	shard string
}

// StartBlockNode starts a disk node that holds a shard.
func (c *Case) StartBlockNode(name string, shard int, work time.Duration) *BlockNode {
	n := &BlockNode{Name: name, Work: work, c: c, data: map[string]string{}, shard: strconv.Itoa(shard)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	n.Addr = ln.Addr().String()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go n.serve(conn)
		}
	}()
	c.Cleanup(func() { _ = ln.Close() })
	return n
}

// Ran returns the commands that ran, in order.
func (n *BlockNode) Ran() []Command {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Command(nil), n.ran...)
}

// Data returns the content of a piece.
func (n *BlockNode) Data(piece string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.data[piece]
}

func (n *BlockNode) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		words, err := ReadCommand(r)
		if err != nil {
			return
		}
		if _, err := io.WriteString(conn, n.answer(words)); err != nil {
			return
		}
	}
}

func (n *BlockNode) answer(words []string) string {
	if words[0] == "PING" {
		return "+PONG\r\n"
	}
	if len(words) < 4 || words[0] != "BLK.READ" && words[0] != "BLK.WRITE" {
		return "-SYNTAX\r\n"
	}
	cmd := Command{Name: words[0], Piece: words[1], ID: words[2], Fields: map[string]string{}}
	for _, f := range strings.Split(words[3], ",") {
		name, value, _ := strings.Cut(f, "=")
		cmd.Fields[name] = value
	}
	if len(words) > 4 {
		cmd.Body = words[4]
	}
	if s := cmd.Fields["shard"]; s != "-1" && s != n.shard {
		return "-BUSY\r\n"
	}
	n.turn.Lock()
	defer n.turn.Unlock()
	n.c.Logf("%s: begins %s %s id=%s %s", n.Name, cmd.Name, cmd.Piece, cmd.ID, cmd.Body)
	time.Sleep(n.Work)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ran = append(n.ran, cmd)
	if cmd.Name == "BLK.WRITE" {
		n.data[cmd.Piece] = cmd.Body
	}
	value := n.data[cmd.Piece]
	n.c.Logf("%s: ran    %s %s id=%s, the piece holds %q", n.Name, cmd.Name, cmd.Piece, cmd.ID, value)
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}

// ReadCommand reads an array of bulk strings.
func ReadCommand(r *bufio.Reader) ([]string, error) {
	count, err := readLength(r, '*')
	if err != nil {
		return nil, err
	}
	words := make([]string, 0, max(count, 0))
	for range count {
		size, err := readLength(r, '$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		words = append(words, string(b[:size]))
	}
	if len(words) == 0 {
		return nil, fmt.Errorf("no words")
	}
	return words, nil
}

func readLength(r *bufio.Reader, kind byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != kind {
		return 0, fmt.Errorf("expected %q, got %q", kind, line)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

// Encode returns a command as an array of bulk strings.
func Encode(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b.String()
}

// ReadAnswer reads a broker's answer to one command: a line, or the value of a bulk string.
func ReadAnswer(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	line = strings.TrimSuffix(line, "\r\n")
	if line[0] != '$' {
		return line, nil
	}
	size, err := strconv.Atoi(line[1:])
	if err != nil || size < 0 {
		return line, err
	}
	b := make([]byte, size+2)
	_, err = io.ReadFull(r, b)
	return line + " " + string(b[:size]), err
}

// StartBlockBroker starts a broker with the given settings, as DEPLOY describes, and waits for +PONG.
func (c *Case) StartBlockBroker(discovery string, settings map[string]any) (*Process, string) {
	addr := FreeAddr()
	text, err := json.MarshalIndent(map[string]any{
		"name": "n1", "listen": addr, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": settings,
	}, "", " ")
	Must(err)
	path := c.WriteFile("broker.json", string(text))
	Must(os.MkdirAll(filepath.Join(c.Dir, "tmp"), 0o700))
	p := c.Start("broker", c.RunLine(), "LB_CONFIG="+path, "LB_NAME=n1", "LB_LISTEN="+addr, "LB_DISCOVERY="+discovery,
		"TMPDIR="+filepath.Join(c.Dir, "tmp"))
	WaitFor("+PONG", 30*time.Second, func() bool { return Pong(addr) })
	return p, addr
}

// Pong reports whether a broker answers PING with +PONG.
func Pong(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(conn, Encode("PING")); err != nil {
		return false
	}
	answer, err := ReadAnswer(bufio.NewReader(conn))
	return err == nil && answer == "+PONG"
}

// Settings returns the settings of a small deployment, in the form of the first message, with the given classes.
func Settings(classes ...map[string]any) map[string]any {
	return map[string]any{
		"balancers": 1, "me": 0, "discovery": "ask", "zone": 0, "zones": []string{"olten-room"},
		"kinds": []string{"node-full"}, "tier": 0, "tiers": []string{"artwork-store"}, "service_type": "stores",
		"classes": classes,
		"policies": []map[string]any{{"name": "basis", "shares": 1.0, "value_factor": 1.0, "usual_rate": 50.0,
			"floor_rate": 50.0, "never_over": 0.0, "burst": 0.0, "tolerance": 0.0}},
		"contract": map[string]any{"answer_slack_ns": 8000000, "ask_within_ns": 10000000000, "cold_from": 0.18,
			"drain_grace_ns": 500000000, "fall_multiple": 3.0, "tip_after_ns": 1000000000, "warm_after_ns": 15000000000},
		"limits": map[string]any{"cancel": true, "connect_timeout_ns": 250000000, "keepalive_ns": 30000000000,
			"max_open": 23406, "max_retry_after_ns": 2000000000, "may_probe": true, "may_tell": false,
			"retry_after": false, "second_copies": true, "send_cap": 3, "streams_per_conn": 32},
		"specifics": map[string]any{"class_writes": []bool{false, true}, "cold_bears": 13.0, "fair_worth": 0.3,
			"beyond_share": 0.08, "max_units": 8, "mean_units": 2.16, "meter_ns": 0, "n_shards": 2, "says_others": false},
		"telemetry": map[string]any{"fields": []string{}, "source": "none"}, "tick_ns": 2000000, "weight_source": "nominal",
	}
}
