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
	// orderEvery is how often the stages of endpoints are looked at, orderTimeout bounds an order.
	orderEvery   = time.Second
	orderTimeout = time.Second
)

// StageSwitcher tells endpoints to change.
type StageSwitcher interface {
	// SwitchToDecode tells a prefill endpoint to become a decode endpoint. The fencing token must be higher than that of any
	// earlier order. accepted is false where the endpoint refused.
	SwitchToDecode(ctx context.Context, address, instance, holder string, fence int64) (accepted bool, err error)
}

// orderer gives the orders that the controller decides on.
type orderer struct {
	name       string
	controller *controller.Controller
	orders     StageSwitcher
	ready      func() bool
	gateways   func() (first bool, heard, known int)
	log        *log.Logger
	// fence is the highest fencing token used.
	fence int64
}

// Serve looks after the stages until the context ends.
func (o *orderer) Serve(ctx context.Context) error {
	return supervision.Every(ctx, orderEvery, func() { o.look(ctx) })
}

func (o *orderer) look(ctx context.Context) {
	first, heard, known := o.gateways()
	for _, t := range o.controller.Rebalance(first && o.ready(), heard, known) {
		o.order(ctx, t)
	}
}

// holderBits is how many low bits of a fencing token tell gateways apart.
const holderBits = 10

// nextFence returns a fencing token above the own last one, which no other gateway uses. A later gateway's token is higher
// because it waits before its first order, for longer than clocks differ.
func nextFence(last int64, holder string, now time.Time) int64 {
	own := int64(xxhash.Sum64String(holder) % (1 << holderBits))
	return max(last+1<<holderBits, now.UnixMilli()<<holderBits|own)
}

func (o *orderer) order(ctx context.Context, t controller.StageChange) {
	o.fence = nextFence(o.fence, o.name, time.Now())
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	accepted, err := o.orders.SwitchToDecode(ctx, t.Address, t.ID, o.name, o.fence)
	o.log.Info().Str("endpoint", t.ID).Int64("fence", o.fence).Bool("accepted", accepted).Err(err).Msg("order: become a decode endpoint")
}
