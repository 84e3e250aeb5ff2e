package psevent

func measureEvents() []Event {
	return nil
}
