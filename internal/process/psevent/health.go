package psevent

func healthEvents() []Event {
	return nil
}
