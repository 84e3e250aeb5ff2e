package psvm

// Kill ends the VM as a crash would: nothing is said to anybody and no request is
// finished. The VM's clean-up function must not be called after it.
func (v *VM) Kill() {
	_ = v.callers.Close()
	_ = v.operator.Close()
	v.options.Listeners.Close()
	v.cancel()
	v.running.Wait()
	v.life.cleanUp()
}
