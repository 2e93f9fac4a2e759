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

// Row holds the measures of one run.
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

// Results is the results file of an experiment: CSV with a column for each key that varies, the design, the seed and
// each measure. An incomplete last line, left by an interrupted run, is dropped. Runs that the file holds are not
// repeated.
type Results struct {
	keys  []string
	rows  map[string]*Row
	order []*Row // in the order of the file
	file  *os.File

	completeBytes int // size of the complete lines that were found
}

// OpenResults reads the results of a file, creates it if it is missing, and prepares it for appending.
func OpenResults(path string, keys []string) (*Results, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, err
	}
	r := &Results{keys: keys, rows: map[string]*Row{}, file: f}
	err = r.read()
	if err == nil && len(r.rows) == 0 && r.completeBytes == 0 {
		err = r.write(r.header())
	}
	if err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// Close closes the file.
func (r *Results) Close() error { return r.file.Close() }

func (r *Results) header() []string {
	return append(append(slices.Clone(r.keys), "design", "seed"), measureNames()...)
}

func (r *Results) read() error {
	text, err := io.ReadAll(r.file)
	if err != nil {
		return err
	}
	complete := text[:strings.LastIndexByte(string(text), '\n')+1]
	r.completeBytes = len(complete)
	if err := r.parse(complete); err != nil {
		return err
	}
	if partial := string(text[len(complete):]); r.completeBytes == 0 && !strings.HasPrefix(strings.Join(r.header(), ","), partial) {
		return fmt.Errorf("line 1: not a results file of a plan")
	}
	// The file is changed only after it was recognised as results of this plan.
	if err := r.file.Truncate(int64(len(complete))); err != nil {
		return err
	}
	_, err = r.file.Seek(int64(len(complete)), io.SeekStart)
	return err
}

// parse reads complete lines: the header and one row for each run.
func (r *Results) parse(complete []byte) error {
	if len(complete) == 0 {
		return nil
	}
	header := r.header()
	reader := csv.NewReader(strings.NewReader(string(complete)))
	reader.FieldsPerRecord = len(header)
	for first := true; ; first = false {
		rec, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("not a results file of this plan: %w", err)
		}
		if first {
			if !slices.Equal(rec, header) {
				return fmt.Errorf("line 1: results of another plan: found columns %v, want %v", rec, header)
			}
			continue
		}
		line, _ := reader.FieldPos(0)
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
	writer := csv.NewWriter(&b)
	if err := writer.Write(rec); err != nil {
		return err
	}
	writer.Flush()
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

// consecutive returns a measure of a design for consecutive seeds, from the given one up to the first without a
// result.
func (r *Results) consecutive(values []string, design string, seed uint64, name string) (out []float64) {
	for ; ; seed++ {
		row := r.rows[rowKey(values, design, seed)]
		if row == nil {
			return out
		}
		out = append(out, row.Measures[name])
	}
}

// DesignEstimate is the estimate for one design at one point.
type DesignEstimate struct {
	Values     []string
	Design     string
	Mean       statistics.Estimate
	Difference statistics.Estimate // difference from the first design, paired by seed; zero for the first design
}

// Run performs the missing runs, point by point, and reports the estimate for each design once a point is finished. It
// stops when the context is cancelled.
func (p *Plan) Run(ctx context.Context, r *Results, report func(DesignEstimate)) error {
	points, err := p.Points()
	if err != nil {
		return err
	}
	for _, pt := range points {
		for n := p.Runs; ; n = min(n+p.Runs, p.MaxRuns) {
			if err := p.runSeeds(ctx, r, pt, n); err != nil {
				return err
			}
			if n == p.MaxRuns || p.preciseEnough(r, pt) {
				break
			}
		}
		for _, d := range p.Designs {
			report(p.estimate(r, pt, d))
		}
	}
	return nil
}

func (p *Plan) estimate(r *Results, pt Point, design string) DesignEstimate {
	values := r.consecutive(pt.Values, design, p.Seed, p.Measure)
	e := DesignEstimate{Values: pt.Values, Design: design, Mean: statistics.EstimateMean(values)}
	if baseline := r.consecutive(pt.Values, p.Designs[0], p.Seed, p.Measure); design != p.Designs[0] {
		n := min(len(baseline), len(values))
		e.Difference, _ = statistics.PairedDifference(values[:n], baseline[:n])
	}
	return e
}

// preciseEnough reports whether the intervals of the first design's mean and of the other designs' differences from it
// are as narrow as Precision asks.
func (p *Plan) preciseEnough(r *Results, pt Point) bool {
	if p.Precision == 0 {
		return true
	}
	for i, d := range p.Designs {
		e := p.estimate(r, pt, d)
		if f := e.Mean; i == 0 && !(f.HalfWidth <= p.Precision) {
			return false
		}
		if f := e.Difference; i > 0 && !(f.HalfWidth <= p.Precision) {
			return false
		}
	}
	return true
}

// runSeeds runs each design with the first n seeds, in parallel. Results are written in a fixed order.
func (p *Plan) runSeeds(ctx context.Context, r *Results, pt Point, n int) error {
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
	for batch := range slices.Chunk(jobs, runtime.GOMAXPROCS(0)) {
		if err := ctx.Err(); err != nil {
			return err
		}
		var running sync.WaitGroup
		for _, j := range batch {
			running.Go(func() {
				res, err := model.Run(pt.Scenario, j.row.Design, j.row.Seed)
				if err != nil {
					j.err = err
					return
				}
				j.row.Measures = map[string]float64{}
				for name, measure := range Measures {
					j.row.Measures[name] = measure(res)
				}
			})
		}
		running.Wait()
		for _, j := range batch {
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
