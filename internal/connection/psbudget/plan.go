package psbudget

const (
	// baseBytes is what a VM's process needs besides what it holds for others: the program, the tables of servers and VMs,
	// and the buffers of the runtime.
	baseBytes = 64 << 20
	// heldFraction is the fraction of the rest that may be held for others. What was freed and not yet collected
	// takes as much again, and connections need buffers and stacks.
	heldFraction = 0.35
	// connectionBytes is what an open connection takes while it is idle.
	connectionBytes = 20 << 10
	// connectionFraction is the fraction of the rest that connections of callers may take.
	connectionFraction = 0.35
	// serverConnectionBytes is what an open connection to a server takes with its buffers, and serverConnectionFraction the
	// fraction of the rest that these connections may take.
	serverConnectionBytes    = 30 << 10
	serverConnectionFraction = 0.2
	// softLimitFraction is the fraction of the memory from which on the runtime collects more often.
	softLimitFraction = 0.85
	// mappedBytes is what the process holds outside the runtime's soft limit, such as the program's text.
	mappedBytes = 28 << 20
	// reservedDescriptors are the descriptors that are left to files, the store, other VMs and the readiness check, and
	// callerFraction is the fraction of the rest that callers' connections may use. Servers use the others.
	reservedDescriptors = 300
	callerFraction      = 0.6
	// forwardDivisor is the part of the connections to servers, as a divisor, that is left to requests sent through other VMs.
	forwardDivisor = 8
	// minBytes and minCallers are the least values of a plan, for a VM that has hardly any memory or descriptors.
	minBytes   = 4 << 20
	minCallers = 16
	// defaultMemory and defaultDescriptors are those of a VM whose settings don't name any.
	defaultMemory      = 512 << 20
	defaultDescriptors = 4096
)

// Limits are the resources of a VM.
type Limits struct {
	// Memory is in bytes and Descriptors the number of open files and sockets; 0 if they are unknown.
	Memory      int64
	Descriptors int
}

// Plan is how a VM divides its resources.
type Plan struct {
	// HeldBytes is the size of the [Budget].
	HeldBytes int64
	// CallerConnections is the number of connections of callers that may be open.
	CallerConnections int
	// ServerConnections is the number of connections to backend servers that may be open, and ForwardConnections that of
	// connections through which other VMs are sent requests.
	ServerConnections, ForwardConnections int
	// SoftMemoryLimit is the memory, in bytes, from which on the runtime collects more often.
	SoftMemoryLimit int64
}

// PlanFor divides the resources of a VM.
func PlanFor(l Limits) Plan {
	if l.Memory <= 0 {
		l.Memory = defaultMemory
	}
	if l.Descriptors <= 0 {
		l.Descriptors = defaultDescriptors
	}
	rest := float64(max(0, l.Memory-baseBytes))
	byMemory := int(connectionFraction * rest / connectionBytes)
	byDescriptors := int(callerFraction * float64(l.Descriptors-reservedDescriptors))
	callers := max(minCallers, min(byMemory, byDescriptors))
	servers := max(minCallers, min(int(serverConnectionFraction*rest/serverConnectionBytes), l.Descriptors-reservedDescriptors-callers))
	return Plan{
		HeldBytes:         max(minBytes, int64(heldFraction*rest)),
		CallerConnections: callers,
		ServerConnections: servers - servers/forwardDivisor, ForwardConnections: servers / forwardDivisor,
		SoftMemoryLimit: max(minBytes, min(int64(softLimitFraction*float64(l.Memory)), l.Memory-mappedBytes)),
	}
}
