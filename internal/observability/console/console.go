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

// views are selected by their positions, from 1.
var views = []struct {
	name  string
	table func(*api.Overview) table
}{
	{"instances", instancesTable},
	{"nodes", nodesTable},
	{"volumes", volumesTable},
	{"classes", classesTable},
	{"rollouts", rolloutsTable},
}

// fetchTimeout bounds one call to the manager.
const fetchTimeout = 3 * time.Second

// Model is the console's state.
type Model struct {
	fetch    func(context.Context) (api.Overview, error)
	interval time.Duration // between two calls
	color    bool

	overview    api.Overview
	hasOverview bool
	fetchedAt   time.Time // of the overview
	now         time.Time
	err         error // of the last call
	fetching    bool

	view     int
	selected string // name of the selected row: rows come and go
	row      int    // its position
	top      int    // position of the first row that is shown
	detail   bool   // the selected row is shown in full

	width  int // of the terminal, in columns
	height int // in lines
}

// New returns a console that calls fetch at an interval.
func New(fetch func(context.Context) (api.Overview, error), interval time.Duration, color bool) *Model {
	return &Model{fetch: fetch, interval: interval, color: color, width: 80, height: 24}
}

// fetched is the result of a call to the manager.
type fetched struct {
	overview api.Overview
	err      error
	at       time.Time
}

// tick is a message that the interval has passed.
type tick time.Time

// startFetch calls the manager, unless a call is under way.
func (m *Model) startFetch() tea.Cmd {
	if m.fetching {
		return nil
	}
	m.fetching = true
	return func() tea.Msg {
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		o, err := m.fetch(ctx)
		return fetched{overview: o, err: err, at: time.Now()}
	}
}

func (m *Model) tick() tea.Cmd {
	return tea.Tick(m.interval, func(t time.Time) tea.Msg { return tick(t) })
}

// Init starts the first call.
func (m *Model) Init() tea.Cmd { return tea.Batch(m.startFetch(), m.tick()) }

// Update handles a key, the result of a call or a tick.
func (m *Model) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch x := msg.(type) {
	case tea.WindowSizeMsg:
		m.width, m.height = x.Width, x.Height
	case tick:
		m.now = time.Time(x)
		return m, tea.Batch(m.startFetch(), m.tick())
	case fetched:
		m.fetching, m.now = false, x.at
		if m.err = x.err; x.err == nil {
			m.overview, m.fetchedAt, m.hasOverview = x.overview, x.at, true
		}
	case tea.KeyMsg:
		return m, m.key(x.String())
	}
	m.followSelection()
	return m, nil
}

func (m *Model) key(k string) tea.Cmd {
	t := views[m.view].table(&m.overview)
	move := func(d int) {
		if len(t.rows) > 0 {
			m.row = min(max(m.row+d, 0), len(t.rows)-1)
			m.selected = t.rows[m.row].name
		}
	}
	switch k {
	case "q", "ctrl+c":
		return tea.Quit
	case "tab", "right", "l":
		m.showView((m.view + 1) % len(views))
	case "shift+tab", "left", "h":
		m.showView((m.view + len(views) - 1) % len(views))
	case "up", "k":
		move(-1)
	case "down", "j":
		move(1)
	case "pgup":
		move(-m.pageSize())
	case "pgdown":
		move(m.pageSize())
	case "home", "g":
		move(-len(t.rows))
	case "end", "G":
		move(len(t.rows))
	case "enter", " ":
		m.detail = len(t.rows) > 0
	case "esc", "backspace":
		m.detail = false
	case "r":
		return m.startFetch()
	default:
		if len(k) == 1 && k[0] >= '1' && int(k[0]-'1') < len(views) {
			m.showView(int(k[0] - '1'))
		}
	}
	m.followSelection()
	return nil
}

// showView switches to a view, with its first row selected.
func (m *Model) showView(to int) { m.view, m.selected, m.row, m.top, m.detail = to, "", 0, 0, false }

// pageSize is how many rows fit.
func (m *Model) pageSize() int { return max(m.height-5, 1) }

// followSelection keeps the selection on its row when rows have moved.
func (m *Model) followSelection() {
	t := views[m.view].table(&m.overview)
	if len(t.rows) == 0 {
		m.row, m.top, m.selected, m.detail = 0, 0, "", false
		return
	}
	found := false
	for i := range t.rows {
		if t.rows[i].name == m.selected {
			m.row, found = i, true
		}
	}
	if !found {
		m.row = min(m.row, len(t.rows)-1)
		m.selected = t.rows[m.row].name
		m.detail = false // what was looked at is gone
	}
	m.top = min(max(m.top, m.row-m.pageSize()+1), m.row)
	m.top = max(min(m.top, len(t.rows)-m.pageSize()), 0)
}

// View renders the screen.
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
	t := views[m.view].table(&m.overview)
	switch {
	case !m.hasOverview && m.err == nil:
		put("asking the manager ...")
	case !m.hasOverview:
		put("nothing is known yet")
	case len(t.rows) == 0:
		put(t.empty)
	case m.detail:
		put(m.strong(t.rows[m.row].name))
		for _, l := range t.rows[m.row].detail {
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
	if !m.hasOverview {
		return "poppyarch fleet"
	}
	o := &m.overview
	s := fmt.Sprintf("poppyarch fleet  revision %d  %d of %d available", o.Revision, o.Enabled-o.Unavailable, o.Enabled)
	if o.Settled {
		return s + "  settled"
	}
	return s + fmt.Sprintf("  %d not as wanted", o.NotCurrent)
}

// health summarises problems with the fleet and with the figures.
func (m *Model) health() string {
	var parts []string
	if m.hasOverview {
		old := m.now.Sub(m.fetchedAt)
		if m.err != nil || old > 3*m.interval+time.Second {
			parts = append(parts, fmt.Sprintf("! as of %.0f s ago: the manager does not answer", max(old, 0).Seconds()))
		}
	} else if m.err != nil {
		parts = append(parts, "! "+m.err.Error())
	}
	silent := 0
	for _, a := range m.overview.Agents {
		if a.Silent {
			silent++
		}
	}
	if silent > 0 {
		parts = append(parts, fmt.Sprintf("! %d of %d agents silent", silent, len(m.overview.Agents)))
	}
	if m.overview.JournalFault != "" {
		parts = append(parts, "! journal: "+m.overview.JournalFault)
	}
	for _, r := range m.overview.Rollouts {
		if r.Phase == "active" || r.Phase == "paused" {
			parts = append(parts, fmt.Sprintf("rollout %d %s, wave %d of %d", r.Revision, r.Phase, min(r.Wave+1, r.Waves), r.Waves))
		}
	}
	if len(parts) == 0 {
		return "agents " + fmt.Sprint(len(m.overview.Agents)) + ", all heard"
	}
	return strings.Join(parts, "  ")
}

// draw renders the rows. What does not fit is cut off on the right.
func (m *Model) draw(t *table, put func(string)) {
	wide := make([]int, len(t.columns))
	titles := make([]string, len(t.columns))
	for i, c := range t.columns {
		titles[i] = c.title
		wide[i] = len(c.title)
	}
	for _, r := range t.rows {
		for i, c := range r.cells {
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
			if t.columns[i].number {
				b.WriteString(pad + c)
			} else {
				b.WriteString(c + pad)
			}
		}
		return strings.TrimRight(b.String(), " ")
	}
	put(line("  ", titles))
	for i := m.top; i < min(m.top+m.pageSize(), len(t.rows)); i++ {
		if i == m.row {
			s := cut(line("> ", t.rows[i].cells), m.width)
			if m.color {
				s = "\x1b[7m" + s + "\x1b[0m"
			}
			put(s)
			continue
		}
		put(line("  ", t.rows[i].cells))
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
