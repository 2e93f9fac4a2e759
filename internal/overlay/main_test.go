package overlay

import (
	"testing"

	"poppyarch/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }
