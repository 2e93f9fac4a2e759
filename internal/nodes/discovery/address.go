package discovery

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"poppyarch/internal/timing/clock"
)

// addressSelector holds the address of the discovery service and ends the watch at an outdated address. It is safe for
// concurrent use.
type addressSelector struct {
	mu      sync.Mutex
	desired string
	polled  string             // address of the latest watch; empty if there has been none
	cancel  context.CancelFunc // ends the current watch
	changed chan struct{}      // signals that the watch was ended; has a buffer of one
}

func newAddressSelector(addr string) addressSelector {
	return addressSelector{
		desired: addr,
		cancel:  func() {},
		changed: make(chan struct{}, 1),
	}
}

// set changes the address. The watch at the old one ends after a random delay of up to jitter.
func (a *addressSelector) set(addr string, jitter clock.Micros) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if addr == a.desired {
		return
	}
	a.desired = addr
	if jitter > 0 {
		time.AfterFunc(clock.Duration(rand.N(jitter)), a.endOutdatedWatch)
	} else {
		a.endOutdatedWatchLocked()
	}
}

func (a *addressSelector) endOutdatedWatch() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endOutdatedWatchLocked()
}

func (a *addressSelector) endOutdatedWatchLocked() {
	if a.polled == a.desired { // a new watch has started in the meantime
		return
	}
	a.cancel()
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// watchTarget is the address and the context of one watch.
type watchTarget struct {
	ctx     context.Context // ends with the watch
	cancel  context.CancelFunc
	addr    string
	changed bool // the previous watch used another address
}

// beginWatch returns the target of the next watch. A later change of the address ends this watch.
func (a *addressSelector) beginWatch(ctx context.Context) watchTarget {
	a.mu.Lock()
	defer a.mu.Unlock()
	watchCtx, cancel := context.WithCancel(ctx)
	target := watchTarget{
		ctx:     watchCtx,
		cancel:  cancel,
		addr:    a.desired,
		changed: a.polled != "" && a.polled != a.desired,
	}
	a.cancel = cancel
	a.polled = a.desired
	return target
}
