package daemon

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/pistachiovane/pistachiovane/internal/process/clock"
	"github.com/pistachiovane/pistachiovane/internal/routing/controller"
	"github.com/pistachiovane/pistachiovane/service/supervision"
)

const (
	// orderInterval is how often the gateway checks which endpoints are to change their stage.
	orderInterval = time.Second
	// maxOrderAge is the time since the decision on an order after which it is no longer sent. A process that was
	// suspended in the meantime may have lost the leadership to a gateway that has given orders since.
	maxOrderAge = 800 * time.Millisecond
)

// StageSwitcher orders endpoints to change their stage.
type StageSwitcher interface {
	// SwitchStage orders an endpoint to become a prefill endpoint if toPrefill is set, otherwise a decode endpoint. holder
	// is the name of the gateway that sends the order. The fencing token must be higher than those of all earlier orders
	// of any gateway. accepted is false if the endpoint refused.
	SwitchStage(
		ctx context.Context, address, endpointID string, toPrefill bool, holder string, fencingToken int64,
	) (accepted bool, err error)
}

// orderSender sends the orders to change stages that the controller decides on.
type orderSender struct {
	name          string
	clock         clock.Clock
	controller    *controller.Controller
	stageSwitcher StageSwitcher
	// ready reports whether the gateway is ready for callers. A gateway that is not ready sends no orders.
	ready func() bool
	// leaderStatus reports whether this gateway is the leader, and the numbers of gateways from which a message arrived
	// recently and of known gateways.
	leaderStatus func() (leader bool, recent, known int)
	log          *log.Logger
}

// Serve sends the due orders every orderInterval until the context ends.
func (o *orderSender) Serve(ctx context.Context) error {
	return supervision.Every(ctx, orderInterval, func() { o.sendDueOrders(ctx) })
}

// sendDueOrders asks the controller for stage changes and sends an order for each. Only the leader of the active
// gateways sends orders. Orders that are still unsent after maxOrderAge are dropped.
func (o *orderSender) sendDueOrders(ctx context.Context) {
	leader, recent, known := o.leaderStatus()
	decidedAt := o.clock()
	changes := o.controller.Rebalance(leader && o.ready(), recent, known)
	for i, change := range changes {
		if age := o.clock() - decidedAt; age > maxOrderAge {
			o.log.Warn().Int("dropped", len(changes)-i).Int64("age_ms", age.Milliseconds()).Msg("order: too late to send")
			return
		}
		o.sendOrder(ctx, change, maxOrderAge-(o.clock()-decidedAt))
	}
}

// sendOrder sends one order and logs its result. It waits for the endpoint up to the timeout and does not retry; the
// controller may decide on the same change later.
func (o *orderSender) sendOrder(ctx context.Context, change controller.StageChange, timeout time.Duration) {
	token := o.controller.NextFencingToken(o.name, time.Now())
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	accepted, err := o.stageSwitcher.SwitchStage(ctx, change.Address, change.ID, change.ToPrefill, o.name, token)
	o.log.Info().Str("endpoint", change.ID).Bool("to_prefill", change.ToPrefill).Int64("fence", token).
		Bool("accepted", accepted).Err(err).Msg("order: change stage")
}
