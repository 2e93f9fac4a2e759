package experiment

import (
	"context"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"

	"poppyarch/internal/lab/model"
	"poppyarch/internal/lab/statistics"
)

// Row is one run's measures.
type Row struct {
	Values   []string
	Design   string
	Seed     uint64
	Measures map[string]float64
}

func (r *Row) key() string { return rowKey(r.Values, r.Design, r.Seed) }

func rowKey(values []string, design string, seed uint64) string {
	return strings.Join(values, "\x00") + "\x01" + design + "\x01" + strconv.FormatUint(seed, 10)
}

// Results is the file of an experiment: CSV with a column for each key that varies, design, seed and each measure. A line that was cut by the
// end of an earlier run is dropped, and what is there is not played again.
type Results struct {
	keys  []string
	rows  map[string]*Row
	order []*Row // as in the file
	file  *os.File

	whole int // bytes of whole lines found
}

// Open reads what a file has and makes it ready for more.
func Open(path string, keys []string) (*Results, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, err
	}
	r := &Results{keys: keys, rows: map[string]*Row{}, file: f}
	err = r.read()
	if err == nil && len(r.rows) == 0 && r.whole == 0 {
		err = r.write(r.header())
	}
	if err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// Close ends the file.
func (r *Results) Close() error { return r.file.Close() }

func (r *Results) header() []string {
	return append(append(slices.Clone(r.keys), "design", "seed"), measureNames()...)
}

func (r *Results) read() error {
	text, err := io.ReadAll(r.file)
	if err != nil {
		return err
	}
	whole := text[:strings.LastIndexByte(string(text), '\n')+1]
	r.whole = len(whole)
	if err := r.parse(whole); err != nil {
		return err
	}
	if torn := string(text[len(whole):]); r.whole == 0 && !strings.HasPrefix(strings.Join(r.header(), ","), torn) {
		return fmt.Errorf("line 1: not results of a plan")
	}
	// Only what is known for results of this plan is touched.
	if err := r.file.Truncate(int64(len(whole))); err != nil {
		return err
	}
	_, err = r.file.Seek(int64(len(whole)), io.SeekStart)
	return err
}

// parse takes in whole lines.
func (r *Results) parse(whole []byte) error {
	if len(whole) == 0 {
		return nil
	}
	head := r.header()
	c := csv.NewReader(strings.NewReader(string(whole)))
	c.FieldsPerRecord = len(head)
	for first := true; ; first = false {
		rec, err := c.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("not results of this plan: %w", err)
		}
		if first {
			if !slices.Equal(rec, head) {
				return fmt.Errorf("line 1: results of another plan: columns %v, want %v", rec, head)
			}
			continue
		}
		line, _ := c.FieldPos(0)
		row := &Row{Values: slices.Clone(rec[:len(r.keys)]), Design: rec[len(r.keys)], Measures: map[string]float64{}}
		if row.Seed, err = strconv.ParseUint(rec[len(r.keys)+1], 10, 64); err != nil {
			return fmt.Errorf("line %d: seed: %w", line, err)
		}
		for i, name := range measureNames() {
			if row.Measures[name], err = strconv.ParseFloat(rec[len(r.keys)+2+i], 64); err != nil {
				return fmt.Errorf("line %d: %s: %w", line, name, err)
			}
		}
		r.rows[row.key()] = row
		r.order = append(r.order, row)
	}
}

func (r *Results) write(rec []string) error {
	var b strings.Builder
	c := csv.NewWriter(&b)
	if err := c.Write(rec); err != nil {
		return err
	}
	c.Flush()
	_, err := r.file.WriteString(b.String())
	return err
}

func (r *Results) add(row *Row) error {
	rec := append(slices.Clone(row.Values), row.Design, strconv.FormatUint(row.Seed, 10))
	for _, name := range measureNames() {
		rec = append(rec, strconv.FormatFloat(row.Measures[name], 'g', -1, 64))
	}
	r.rows[row.key()], r.order = row, append(r.order, row)
	return r.write(rec)
}

// of is a measure of the seeds that a design has been played with, from the first on without a gap.
func (r *Results) of(values []string, design string, seed uint64, name string) (out []float64) {
	for ; ; seed++ {
		row := r.rows[rowKey(values, design, seed)]
		if row == nil {
			return out
		}
		out = append(out, row.Measures[name])
	}
}

// Line is what is known of one design at one point.
type Line struct {
	Values []string
	Design string
	Mean   statistics.Figure
	Less   statistics.Figure // the difference from the first design, seed by seed; of the first itself: nothing
}

// Run plays what is missing, a point after the other, and reports each line when it is known well enough. It ends early with the context.
func (p *Plan) Run(ctx context.Context, r *Results, say func(Line)) error {
	points, err := p.Points()
	if err != nil {
		return err
	}
	for _, pt := range points {
		for n := p.Runs; ; n = min(n+p.Runs, p.Most) {
			if err := p.upTo(ctx, r, pt, n); err != nil {
				return err
			}
			if n == p.Most || p.enough(r, pt) {
				break
			}
		}
		for _, d := range p.Designs {
			say(p.line(r, pt, d))
		}
	}
	return nil
}

func (p *Plan) line(r *Results, pt Point, design string) Line {
	own := r.of(pt.Values, design, p.Seed, p.Measure)
	l := Line{Values: pt.Values, Design: design, Mean: statistics.Of(own)}
	if first := r.of(pt.Values, p.Designs[0], p.Seed, p.Measure); design != p.Designs[0] {
		n := min(len(first), len(own))
		l.Less, _ = statistics.Paired(own[:n], first[:n])
	}
	return l
}

// enough: the first design's mean and the others' differences from it are as narrow as wanted.
func (p *Plan) enough(r *Results, pt Point) bool {
	if p.Precision == 0 {
		return true
	}
	for i, d := range p.Designs {
		l := p.line(r, pt, d)
		if f := l.Mean; i == 0 && !(f.Half <= p.Precision) {
			return false
		}
		if f := l.Less; i > 0 && !(f.Half <= p.Precision) {
			return false
		}
	}
	return true
}

// upTo plays each design with the first n seeds, side by side; results are written in a fixed order.
func (p *Plan) upTo(ctx context.Context, r *Results, pt Point, n int) error {
	type job struct {
		row *Row
		err error
	}
	var jobs []*job
	for i := range uint64(n) {
		for _, d := range p.Designs {
			if r.rows[rowKey(pt.Values, d, p.Seed+i)] == nil {
				jobs = append(jobs, &job{row: &Row{Values: pt.Values, Design: d, Seed: p.Seed + i}})
			}
		}
	}
	for part := range slices.Chunk(jobs, runtime.GOMAXPROCS(0)) {
		if err := ctx.Err(); err != nil {
			return err
		}
		var wait sync.WaitGroup
		for _, j := range part {
			wait.Go(func() {
				res, err := model.Play(pt.Scenario, j.row.Design, j.row.Seed)
				if err != nil {
					j.err = err
					return
				}
				j.row.Measures = map[string]float64{}
				for name, of := range Measures {
					j.row.Measures[name] = of(res)
				}
			})
		}
		wait.Wait()
		for _, j := range part {
			if j.err != nil {
				return j.err
			}
			if err := r.add(j.row); err != nil {
				return err
			}
		}
	}
	return nil
}
