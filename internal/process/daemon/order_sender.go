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
	// orderInterval is how often the stages of endpoints are looked at, orderTimeout bounds an order.
	orderInterval = time.Second
	orderTimeout  = time.Second
)

// StageSwitcher tells endpoints to change.
type StageSwitcher interface {
	// SwitchToDecode tells a prefill endpoint to become a decode endpoint. The fencing token must be higher than that of any
	// earlier order. accepted is false where the endpoint refused.
	SwitchToDecode(ctx context.Context, address, endpointID, holder string, fencingToken int64) (accepted bool, err error)
}

// orderSender gives the orders that the controller decides on.
type orderSender struct {
	name          string
	controller    *controller.Controller
	stageSwitcher StageSwitcher
	ready         func() bool
	leaderStatus  func() (leader bool, recent, known int)
	log           *log.Logger
	// lastFencingToken is the highest fencing token used.
	lastFencingToken int64
}

// Serve looks after the stages until the context ends.
func (o *orderSender) Serve(ctx context.Context) error {
	return supervision.Every(ctx, orderInterval, func() { o.sendDueOrders(ctx) })
}

func (o *orderSender) sendDueOrders(ctx context.Context) {
	leader, recent, known := o.leaderStatus()
	for _, t := range o.controller.Rebalance(leader && o.ready(), recent, known) {
		o.sendOrder(ctx, t)
	}
}

// gatewayBits is how many low bits of a fencing token tell gateways apart.
const gatewayBits = 10

// nextFencingToken returns a fencing token above the own last one, which no other gateway uses. A later gateway's token is higher
// because it waits before its first order, for longer than clocks differ.
func nextFencingToken(last int64, gateway string, now time.Time) int64 {
	gatewayPart := int64(xxhash.Sum64String(gateway) % (1 << gatewayBits))
	return max(last+1<<gatewayBits, now.UnixMilli()<<gatewayBits|gatewayPart)
}

func (o *orderSender) sendOrder(ctx context.Context, t controller.StageChange) {
	o.lastFencingToken = nextFencingToken(o.lastFencingToken, o.name, time.Now())
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	accepted, err := o.stageSwitcher.SwitchToDecode(ctx, t.Address, t.ID, o.name, o.lastFencingToken)
	o.log.Info().Str("endpoint", t.ID).Int64("fence", o.lastFencingToken).Bool("accepted", accepted).Err(err).Msg("order: become a decode endpoint")
}
