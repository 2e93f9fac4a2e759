package console

import (
	"context"
	"fmt"
	"strings"
	"time"
	"unicode/utf8"

	tea "github.com/charmbracelet/bubbletea"

	"poppyarch/internal/fleet/api"
)

// views by their keys, from 1.
var views = []struct {
	name string
	make func(*api.Overview) table
}{
	{"instances", instances}, {"nodes", nodes}, {"volumes", volumes}, {"classes", classes}, {"rollouts", rollouts},
}

// Model is the console's state.
type Model struct {
	fetch func(context.Context) (api.Overview, error)
	every time.Duration
	color bool

	o        api.Overview
	have     bool
	read     time.Time // when o came
	now      time.Time
	err      error
	view     int
	at       string // the selected row's name: rows come and go
	row      int
	top      int
	detail   bool
	width    int
	height   int
	fetching bool
}

// New returns a console that asks fetch again and again.
func New(fetch func(context.Context) (api.Overview, error), every time.Duration, color bool) *Model {
	return &Model{fetch: fetch, every: every, color: color, width: 80, height: 24}
}

type answer struct {
	o   api.Overview
	err error
	at  time.Time
}

type tick time.Time

func (m *Model) ask() tea.Cmd {
	if m.fetching {
		return nil
	}
	m.fetching = true
	return func() tea.Msg {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		o, err := m.fetch(ctx)
		return answer{o, err, time.Now()}
	}
}

func (m *Model) tick() tea.Cmd {
	return tea.Tick(m.every, func(t time.Time) tea.Msg { return tick(t) })
}

// Init asks for the first time.
func (m *Model) Init() tea.Cmd { return tea.Batch(m.ask(), m.tick()) }

// Update takes in a key, an answer or the time.
func (m *Model) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch x := msg.(type) {
	case tea.WindowSizeMsg:
		m.width, m.height = x.Width, x.Height
	case tick:
		m.now = time.Time(x)
		return m, tea.Batch(m.ask(), m.tick())
	case answer:
		m.fetching, m.now = false, x.at
		if m.err = x.err; x.err == nil {
			m.o, m.read, m.have = x.o, x.at, true
		}
	case tea.KeyMsg:
		return m, m.key(x.String())
	}
	m.settle()
	return m, nil
}

func (m *Model) key(k string) tea.Cmd {
	t := views[m.view].make(&m.o)
	move := func(d int) {
		if len(t.names) > 0 {
			m.row = min(max(m.row+d, 0), len(t.names)-1)
			m.at = t.names[m.row]
		}
	}
	switch k {
	case "q", "ctrl+c":
		return tea.Quit
	case "tab", "right", "l":
		m.turn((m.view + 1) % len(views))
	case "shift+tab", "left", "h":
		m.turn((m.view + len(views) - 1) % len(views))
	case "up", "k":
		move(-1)
	case "down", "j":
		move(1)
	case "pgup":
		move(-m.page())
	case "pgdown":
		move(m.page())
	case "home", "g":
		move(-len(t.names))
	case "end", "G":
		move(len(t.names))
	case "enter", " ":
		m.detail = len(t.names) > 0
	case "esc", "backspace":
		m.detail = false
	case "r":
		return m.ask()
	default:
		if len(k) == 1 && k[0] >= '1' && int(k[0]-'1') < len(views) {
			m.turn(int(k[0] - '1'))
		}
	}
	m.settle()
	return nil
}

func (m *Model) turn(to int) { m.view, m.at, m.row, m.top, m.detail = to, "", 0, 0, false }

// page is how many rows fit.
func (m *Model) page() int { return max(m.height-5, 1) }

// settle keeps the selection on its row, wherever that has gone.
func (m *Model) settle() {
	t := views[m.view].make(&m.o)
	if len(t.names) == 0 {
		m.row, m.top, m.at, m.detail = 0, 0, "", false
		return
	}
	found := false
	for i, name := range t.names {
		if name == m.at {
			m.row, found = i, true
		}
	}
	if !found {
		m.row = min(m.row, len(t.names)-1)
		m.at = t.names[m.row]
		m.detail = false // what was looked at is gone
	}
	m.top = min(max(m.top, m.row-m.page()+1), m.row)
	m.top = max(min(m.top, len(t.names)-m.page()), 0)
}

// View draws.
func (m *Model) View() string {
	var b strings.Builder
	put := func(s string) { b.WriteString(cut(s, m.width) + "\n") }
	put(m.headline())
	put(m.health())
	var tabs []string
	for i, v := range views {
		s := fmt.Sprintf(" %d %s ", i+1, v.name)
		if i == m.view {
			s = fmt.Sprintf("[%d %s]", i+1, v.name)
		}
		tabs = append(tabs, s)
	}
	put(strings.Join(tabs, ""))
	t := views[m.view].make(&m.o)
	switch {
	case !m.have && m.err == nil:
		put("asking the manager ...")
	case !m.have:
		put("nothing is known yet")
	case len(t.rows) == 0:
		put(t.empty)
	case m.detail:
		put(m.strong(t.names[m.row]))
		for _, l := range t.detail[m.row] {
			for _, part := range wrap(l, m.width) {
				put(part)
			}
		}
	default:
		m.draw(&t, put)
	}
	lines := strings.Split(strings.TrimRight(b.String(), "\n"), "\n")
	if len(lines) > m.height-1 {
		lines = lines[:m.height-1]
	}
	for len(lines) < m.height-1 {
		lines = append(lines, "")
	}
	help := "1-5 tab view  up/down select  enter open  r refresh  q quit"
	if m.detail {
		help = "esc back  q quit"
	}
	return strings.Join(lines, "\n") + "\n" + cut(help, m.width)
}

func (m *Model) strong(s string) string {
	if !m.color {
		return s
	}
	return "\x1b[1m" + s + "\x1b[0m"
}

func (m *Model) headline() string {
	if !m.have {
		return "poppyarch fleet"
	}
	o := &m.o
	s := fmt.Sprintf("poppyarch fleet  revision %d  %d of %d available", o.Revision, o.Enabled-o.Unavailable, o.Enabled)
	if o.Settled {
		return s + "  settled"
	}
	return s + fmt.Sprintf("  %d not as wanted", o.NotCurrent)
}

// health says what is wrong with what is shown.
func (m *Model) health() string {
	var parts []string
	if m.have {
		old := m.now.Sub(m.read)
		if m.err != nil || old > 3*m.every+time.Second {
			parts = append(parts, fmt.Sprintf("! as of %.0f s ago: the manager does not answer", max(old, 0).Seconds()))
		}
	} else if m.err != nil {
		parts = append(parts, "! "+m.err.Error())
	}
	silent := 0
	for _, a := range m.o.Agents {
		if a.Silent {
			silent++
		}
	}
	if silent > 0 {
		parts = append(parts, fmt.Sprintf("! %d of %d agents silent", silent, len(m.o.Agents)))
	}
	if m.o.JournalFault != "" {
		parts = append(parts, "! journal: "+m.o.JournalFault)
	}
	for _, r := range m.o.Rollouts {
		if r.Phase == "active" || r.Phase == "paused" {
			parts = append(parts, fmt.Sprintf("rollout %d %s, wave %d of %d", r.Revision, r.Phase, min(r.Wave+1, r.Waves), r.Waves))
		}
	}
	if len(parts) == 0 {
		return "agents " + fmt.Sprint(len(m.o.Agents)) + ", all heard"
	}
	return strings.Join(parts, "  ")
}

// draw lays the rows out. What does not fit is cut from the right; columns of numbers stay whole.
func (m *Model) draw(t *table, put func(string)) {
	wide := make([]int, len(t.head))
	for i, h := range t.head {
		wide[i] = len(h)
	}
	for _, r := range t.rows {
		for i, c := range r {
			wide[i] = min(max(wide[i], utf8.RuneCountInString(c)), 40)
		}
	}
	line := func(mark string, cells []string) string {
		var b strings.Builder
		b.WriteString(mark)
		for i, c := range cells {
			if i > 0 {
				b.WriteString(" ")
			}
			c = cut(c, wide[i])
			pad := strings.Repeat(" ", wide[i]-utf8.RuneCountInString(c))
			if t.right[i] {
				b.WriteString(pad + c)
			} else {
				b.WriteString(c + pad)
			}
		}
		return strings.TrimRight(b.String(), " ")
	}
	put(line("  ", t.head))
	for i := m.top; i < min(m.top+m.page(), len(t.rows)); i++ {
		if i == m.row {
			s := cut(line("> ", t.rows[i]), m.width)
			if m.color {
				s = "\x1b[7m" + s + "\x1b[0m"
			}
			put(s)
			continue
		}
		put(line("  ", t.rows[i]))
	}
}

// cut shortens a line to so many columns. Escapes count for nothing; only whole lines have them.
func cut(s string, n int) string {
	if strings.Contains(s, "\x1b") || utf8.RuneCountInString(s) <= n {
		return s
	}
	r := []rune(s)
	if n <= 1 {
		return string(r[:max(n, 0)])
	}
	return string(r[:n-1]) + "…"
}

// wrap breaks a long line at spaces.
func wrap(s string, n int) (out []string) {
	for utf8.RuneCountInString(s) > n && n > 10 {
		r := []rune(s)
		k := n
		for k > n/2 && r[k] != ' ' {
			k--
		}
		if k == n/2 {
			k = n
		}
		out = append(out, string(r[:k]))
		s = "    " + strings.TrimLeft(string(r[k:]), " ")
	}
	return append(out, s)
}

// Run shows the console until it is quit.
func Run(ctx context.Context, m *Model) error {
	_, err := tea.NewProgram(m, tea.WithAltScreen(), tea.WithContext(ctx)).Run()
	return err
}
