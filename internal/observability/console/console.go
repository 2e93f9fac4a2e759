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

// views lists the views in the order of their tabs. The keys 1, 2, ... select them.
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

// Model is the state of the console.
type Model struct {
	fetch    func(context.Context) (api.Overview, error)
	interval time.Duration // between calls of fetch
	color    bool

	overview    api.Overview
	hasOverview bool
	fetchedAt   time.Time // when overview was fetched
	now         time.Time // when the last tick or result of a call arrived
	err         error     // of the last call; nil if it succeeded
	fetching    bool      // a call is in progress

	viewIndex    int
	selectedName string // name of the selected row, which keeps the selection when rows are added or removed
	selectedRow  int    // position of the selected row
	firstRow     int    // position of the first visible row
	showDetail   bool   // the detail of the selected row is shown instead of the table

	width  int // of the terminal, in columns
	height int // of the terminal, in lines
}

// New returns a console that calls fetch at an interval. color enables escape sequences for bold and inverse text.
func New(fetch func(context.Context) (api.Overview, error), interval time.Duration, color bool) *Model {
	return &Model{fetch: fetch, interval: interval, color: color, width: 80, height: 24}
}

// fetched is the message with the result of a call to the manager.
type fetched struct {
	overview api.Overview
	err      error
	at       time.Time
}

// tick is the message that the interval has passed.
type tick time.Time

// startFetch calls the manager, unless a call is in progress.
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

// Update handles a key, a tick, the result of a call or a change of the terminal's size.
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
		return m, m.handleKey(x.String())
	}
	m.followSelection()
	return m, nil
}

func (m *Model) handleKey(k string) tea.Cmd {
	t := views[m.viewIndex].table(&m.overview)
	move := func(delta int) {
		if len(t.rows) > 0 {
			m.selectedRow = min(max(m.selectedRow+delta, 0), len(t.rows)-1)
			m.selectedName = t.rows[m.selectedRow].name
		}
	}
	switch k {
	case "q", "ctrl+c":
		return tea.Quit
	case "tab", "right", "l":
		m.showView((m.viewIndex + 1) % len(views))
	case "shift+tab", "left", "h":
		m.showView((m.viewIndex + len(views) - 1) % len(views))
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
		m.showDetail = len(t.rows) > 0
	case "esc", "backspace":
		m.showDetail = false
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
func (m *Model) showView(index int) {
	m.viewIndex, m.selectedName, m.selectedRow, m.firstRow, m.showDetail = index, "", 0, 0, false
}

// pageSize returns how many rows fit on the screen.
func (m *Model) pageSize() int { return max(m.height-5, 1) }

// followSelection finds the selected row by its name after rows have moved, and scrolls so that it is visible. If the
// row no longer exists, it selects the row that is now at its position, or the last row.
func (m *Model) followSelection() {
	t := views[m.viewIndex].table(&m.overview)
	if len(t.rows) == 0 {
		m.selectedRow, m.firstRow, m.selectedName, m.showDetail = 0, 0, "", false
		return
	}
	found := false
	for i := range t.rows {
		if t.rows[i].name == m.selectedName {
			m.selectedRow, found = i, true
		}
	}
	if !found {
		m.selectedRow = min(m.selectedRow, len(t.rows)-1)
		m.selectedName = t.rows[m.selectedRow].name
		m.showDetail = false // the row whose detail was shown no longer exists
	}
	m.firstRow = min(max(m.firstRow, m.selectedRow-m.pageSize()+1), m.selectedRow)
	m.firstRow = max(min(m.firstRow, len(t.rows)-m.pageSize()), 0)
}

// View renders the screen.
func (m *Model) View() string {
	var b strings.Builder
	writeLine := func(s string) { b.WriteString(truncate(s, m.width) + "\n") }
	writeLine(m.headline())
	writeLine(m.health())
	var tabs []string
	for i, v := range views {
		s := fmt.Sprintf(" %d %s ", i+1, v.name)
		if i == m.viewIndex {
			s = fmt.Sprintf("[%d %s]", i+1, v.name)
		}
		tabs = append(tabs, s)
	}
	writeLine(strings.Join(tabs, ""))
	t := views[m.viewIndex].table(&m.overview)
	switch {
	case !m.hasOverview && m.err == nil:
		writeLine("asking the manager ...")
	case !m.hasOverview:
		writeLine("no data received yet")
	case len(t.rows) == 0:
		writeLine(t.empty)
	case m.showDetail:
		writeLine(m.bold(t.rows[m.selectedRow].name))
		for _, l := range t.rows[m.selectedRow].detail {
			for _, part := range wrap(l, m.width) {
				writeLine(part)
			}
		}
	default:
		m.drawTable(&t, writeLine)
	}
	lines := strings.Split(strings.TrimRight(b.String(), "\n"), "\n")
	if len(lines) > m.height-1 {
		lines = lines[:m.height-1]
	}
	for len(lines) < m.height-1 {
		lines = append(lines, "")
	}
	help := "1-5 tab view  up/down select  enter open  r refresh  q quit"
	if m.showDetail {
		help = "esc back  q quit"
	}
	return strings.Join(lines, "\n") + "\n" + truncate(help, m.width)
}

func (m *Model) bold(s string) string {
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

// health summarises problems with the fleet and with the data that is shown.
func (m *Model) health() string {
	var parts []string
	if m.hasOverview {
		age := m.now.Sub(m.fetchedAt)
		if m.err != nil || age > 3*m.interval+time.Second {
			parts = append(parts, fmt.Sprintf("! as of %.0f s ago: the manager does not answer", max(age, 0).Seconds()))
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
		return "agents " + fmt.Sprint(len(m.overview.Agents)) + ", none silent"
	}
	return strings.Join(parts, "  ")
}

// drawTable renders the titles and the visible rows. Text that does not fit is cut off on the right.
func (m *Model) drawTable(t *table, writeLine func(string)) {
	widths := make([]int, len(t.columns))
	titles := make([]string, len(t.columns))
	for i, c := range t.columns {
		titles[i] = c.title
		widths[i] = len(c.title)
	}
	for _, r := range t.rows {
		for i, c := range r.cells {
			widths[i] = min(max(widths[i], utf8.RuneCountInString(c)), 40)
		}
	}
	line := func(marker string, cells []string) string {
		var b strings.Builder
		b.WriteString(marker)
		for i, c := range cells {
			if i > 0 {
				b.WriteString(" ")
			}
			c = truncate(c, widths[i])
			padding := strings.Repeat(" ", widths[i]-utf8.RuneCountInString(c))
			if t.columns[i].number {
				b.WriteString(padding + c)
			} else {
				b.WriteString(c + padding)
			}
		}
		return strings.TrimRight(b.String(), " ")
	}
	writeLine(line("  ", titles))
	for i := m.firstRow; i < min(m.firstRow+m.pageSize(), len(t.rows)); i++ {
		if i == m.selectedRow {
			s := truncate(line("> ", t.rows[i].cells), m.width)
			if m.color {
				s = "\x1b[7m" + s + "\x1b[0m"
			}
			writeLine(s)
			continue
		}
		writeLine(line("  ", t.rows[i].cells))
	}
}

// truncate shortens a line to n columns. It returns a line with escape sequences unchanged: they take no columns, and
// only lines that are styled from start to end have them.
func truncate(s string, n int) string {
	if strings.Contains(s, "\x1b") || utf8.RuneCountInString(s) <= n {
		return s
	}
	r := []rune(s)
	if n <= 1 {
		return string(r[:max(n, 0)])
	}
	return string(r[:n-1]) + "…"
}

// wrap breaks a line of more than n columns at spaces, and indents the continuation lines.
func wrap(s string, n int) (out []string) {
	for utf8.RuneCountInString(s) > n && n > 10 {
		r := []rune(s)
		end := n
		for end > n/2 && r[end] != ' ' {
			end--
		}
		if end == n/2 {
			end = n
		}
		out = append(out, string(r[:end]))
		s = "    " + strings.TrimLeft(string(r[end:]), " ")
	}
	return append(out, s)
}

// Run shows the console until the operator quits it or ctx is done.
func Run(ctx context.Context, m *Model) error {
	_, err := tea.NewProgram(m, tea.WithAltScreen(), tea.WithContext(ctx)).Run()
	return err
}
