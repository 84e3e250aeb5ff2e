package pspool

// Usage counts the slots of one VM.
type Usage struct {
	// Running are in use by requests, Waiting are requests without one.
	Running, Waiting int
	// Base belong to this VM now; Lent are those of them that other VMs have.
	Base, Lent int
}

// Usage returns the present counts.
func (d *Dispatcher) Usage() Usage {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.refresh()
	now := d.config.Now()
	u := Usage{Running: d.running}
	for _, p := range d.pools {
		u.Waiting += p.waitingCount()
	}
	for _, t := range d.servers {
		u.Base += d.base(t, now)
		u.Lent += t.lentSlots
	}
	return u
}
