package decision

import "testing"

func TestDedupScopeCoversNodes(t *testing.T) {
	a := &Endpoint{Zone: 1, Shard: 1}
	sameZone := &Endpoint{Zone: 1, Shard: 2}
	sameShard := &Endpoint{Zone: 2, Shard: 1}
	other := &Endpoint{Zone: 2, Shard: 2}
	for _, x := range []struct {
		scope DedupScope
		node  *Endpoint
		want  bool
	}{
		{DedupEverywhere, other, true},
		{DedupZone, sameZone, true},
		{DedupZone, sameShard, false},
		{DedupShard, sameShard, true},
		{DedupShard, sameZone, false},
	} {
		if got := x.scope.Covers(a, x.node); got != x.want {
			t.Errorf("scope %d covers %+v: got %v, want %v", x.scope, *x.node, got, x.want)
		}
	}
}

func TestMayShedOnlyWhereRetriesAreHarmless(t *testing.T) {
	for _, x := range []struct {
		class Class
		want  bool
	}{
		{Class{Idempotency: Idempotent}, true},
		{Class{Idempotency: IdempotentByKey, DedupScope: DedupEverywhere}, true},
		{Class{Idempotency: IdempotentByKey, DedupScope: DedupZone}, false},
		{Class{Idempotency: IdempotentByKey, DedupScope: DedupShard}, false},
		{Class{Idempotency: NotIdempotent}, false},
	} {
		if got := x.class.MayShed(); got != x.want {
			t.Errorf("%+v: got %v, want %v", x.class, got, x.want)
		}
	}
}
