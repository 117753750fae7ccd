package cli

import (
	"stepwick/internal/decision/statemachine"

	"github.com/spf13/cobra"
)

// orderHistory is the body of a response that lists the accepted orders.
type orderHistory struct {
	Orders []statemachine.Record `json:"history"`
}

func (a *App) sheetHistoryCommand(client *fleetClient) *cobra.Command {
	var format string
	var limit int
	command := &cobra.Command{
		Use:               "history",
		Short:             "List the last orders: epoch, time, operator, summary",
		Example:           "  stepwick sheet history\n  stepwick sheet history --limit 5 -o json",
		Args:              cobra.NoArgs,
		ValidArgsFunction: completeNothing,
		RunE: func(command *cobra.Command, _ []string) error {
			var history orderHistory
			body, err := client.get(command.Context(), controlPath+"history", &history)
			if err != nil {
				return err
			}
			if format == formatJSON && limit <= 0 {
				return a.printBody(body)
			}
			if limit > 0 && len(history.Orders) > limit {
				history.Orders = history.Orders[len(history.Orders)-limit:]
			}
			if format == formatJSON {
				return a.printJSON(history)
			}
			return a.printHistory(history.Orders)
		},
	}
	command.Flags().IntVar(&limit, "limit", 0, "list only this many of the newest orders; 0 for all that are kept")
	addOutputFlag(command, &format, formatTable, formatTable, formatJSON)
	return command
}

func (a *App) printHistory(orders []statemachine.Record) error {
	rows := a.newTable("EPOCH", "TIME", "OPERATOR", "ORDER", "WHAT", "ORDER ID")
	for _, order := range orders {
		rows.addRow(order.Version, formatTimestamp(order.ReceivedAtMS), order.Operator, order.Verb, order.Summary, order.OrderID)
	}
	return rows.print()
}
