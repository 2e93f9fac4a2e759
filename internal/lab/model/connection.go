package model

// conn is a connection between a broker and a node's process.
type conn struct {
	node  *Node
	epoch int // of the node's process
	uses  int // changes of its state; its idle timer closes it only if there was none in the meantime
	busy  bool
}

// end closes a connection.
func (c *conn) end() {
	if c.epoch == c.node.epoch {
		c.node.conns--
	}
	c.uses++
}

// takeIdleConn returns an idle connection to the node's present process for an attempt, nil if there is none.
func (b *broker) takeIdleConn(n *Node) *conn {
	list := b.idleConns[n]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		b.idleConns[n] = list
		if c.epoch == n.epoch && !n.down {
			c.busy = true
			c.uses++
			return c
		}
	}
	return nil
}

// keepIdleConn keeps a connection for later attempts, until its idle timeout.
func (b *broker) keepIdleConn(c *conn) {
	if c.epoch != c.node.epoch {
		return
	}
	c.busy = false
	c.uses++
	uses, epoch := c.uses, b.epoch
	b.idleConns[c.node] = append(b.idleConns[c.node], c)
	b.run.e.After(b.run.s.Link.IdleTimeout.us(), func() {
		if c.uses != uses || b.epoch != epoch {
			return
		}
		c.end()
		list := b.idleConns[c.node]
		for i := range list {
			if list[i] == c {
				b.idleConns[c.node] = append(list[:i], list[i+1:]...)
				break
			}
		}
	})
}
