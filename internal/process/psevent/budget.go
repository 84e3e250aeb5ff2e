package psevent

func budgetEvents() []Event {
	return nil
}
