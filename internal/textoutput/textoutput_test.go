package textoutput

import (
	"errors"
	"io"
	"strings"
	"testing"
)

var errFull = errors.New("disk full")

// limitedWriter fails once no calls remain.
type limitedWriter struct{ remainingCalls int }

func (w *limitedWriter) Write(b []byte) (int, error) {
	if w.remainingCalls == 0 {
		return 0, errFull
	}
	w.remainingCalls--
	return len(b), nil
}

func TestPrinterKeepsTheFirstError(t *testing.T) {
	p := NewPrinter(&limitedWriter{remainingCalls: 1})
	p.Printf("%d", 1)
	if p.Err() != nil {
		t.Fatalf("error before the limit: %v", p.Err())
	}
	p.Println("lost")
	p.Section(func(io.Writer) error {
		t.Error("Section called its function after an error")
		return nil
	})
	if !errors.Is(p.Err(), errFull) {
		t.Errorf("error is %v, want %v", p.Err(), errFull)
	}
}

func TestTableReportsLostOutput(t *testing.T) {
	table := NewTable(&limitedWriter{}, "NAME", "STATE")
	table.Printf("b1\tup\n")
	if err := table.Flush(); !errors.Is(err, errFull) {
		t.Errorf("error is %v, want %v", err, errFull)
	}
}

func TestTableAlignsColumns(t *testing.T) {
	var out strings.Builder
	table := NewTable(&out, "NAME", "STATE")
	table.Printf("%s\t%s\n", "broker-1", "up")
	if err := table.Flush(); err != nil {
		t.Fatal(err)
	}
	if want := "NAME      STATE\nbroker-1  up\n"; out.String() != want {
		t.Errorf("printed %q, want %q", out.String(), want)
	}
}
