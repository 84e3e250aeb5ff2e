package psevent

func stateEvents() []Event {
	return nil
}
