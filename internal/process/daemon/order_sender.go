package daemon

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"github.com/pistachiovane/pistachiovane/internal/routing/controller"
	"github.com/pistachiovane/pistachiovane/service/supervision"
)

const (
	// orderInterval is how often the gateway checks which endpoints are to change their stage.
	orderInterval = time.Second
	// orderTimeout limits the call that sends an order.
	orderTimeout = time.Second
)

// StageSwitcher orders endpoints to change their stage.
type StageSwitcher interface {
	// SwitchToDecode orders a prefill endpoint to become a decode endpoint. holder is the name of the gateway that
	// sends the order. The fencing token must be higher than those of all earlier orders of any gateway. accepted is
	// false if the endpoint refused.
	SwitchToDecode(ctx context.Context, address, endpointID, holder string, fencingToken int64) (accepted bool, err error)
}

// orderSender sends the orders to change stages that the controller decides on.
type orderSender struct {
	name          string
	controller    *controller.Controller
	stageSwitcher StageSwitcher
	// ready reports whether the gateway is ready for callers. A gateway that is not ready sends no orders.
	ready func() bool
	// leaderStatus reports whether this gateway is the leader, and the numbers of gateways from which a message arrived
	// recently and of known gateways.
	leaderStatus func() (leader bool, recent, known int)
	log          *log.Logger
	// lastFencingToken is the fencing token of the latest order sent by this gateway.
	lastFencingToken int64
}

// Serve sends the due orders every orderInterval until the context ends.
func (o *orderSender) Serve(ctx context.Context) error {
	return supervision.Every(ctx, orderInterval, func() { o.sendDueOrders(ctx) })
}

// sendDueOrders asks the controller for stage changes and sends an order for each. Only the leader of the active
// gateways sends orders.
func (o *orderSender) sendDueOrders(ctx context.Context) {
	leader, recent, known := o.leaderStatus()
	for _, change := range o.controller.Rebalance(leader && o.ready(), recent, known) {
		o.sendOrder(ctx, change)
	}
}

// gatewayHashBits is the number of low bits of a fencing token that hold a hash of the gateway's name.
const gatewayHashBits = 10

// nextFencingToken returns a fencing token that is higher than the last one of this gateway. The high bits hold the
// time of day in ms. A gateway that becomes the leader waits before its first order for longer than the clocks of VMs
// differ, so its tokens are higher than those of the leader before it. The low bits hold a hash of the gateway's name,
// so that two gateways do not use the same token in the same millisecond.
func nextFencingToken(last int64, gateway string, now time.Time) int64 {
	gatewayHash := int64(xxhash.Sum64String(gateway) % (1 << gatewayHashBits))
	return max(last+1<<gatewayHashBits, now.UnixMilli()<<gatewayHashBits|gatewayHash)
}

// sendOrder sends one order and logs its result. It does not retry; the controller may decide on the same change later.
func (o *orderSender) sendOrder(ctx context.Context, change controller.StageChange) {
	o.lastFencingToken = nextFencingToken(o.lastFencingToken, o.name, time.Now())
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	accepted, err := o.stageSwitcher.SwitchToDecode(ctx, change.Address, change.ID, o.name, o.lastFencingToken)
	o.log.Info().Str("endpoint", change.ID).Int64("fence", o.lastFencingToken).Bool("accepted", accepted).Err(err).
		Msg("order: become a decode endpoint")
}
