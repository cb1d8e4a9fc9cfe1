package assembler

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/pistachiovane/pistachiovane/pkg/catalog"
)

// Account is a client account of a stand-in fleet, with its key in clear for the test callers.
type Account struct {
	Name            string
	Key             string
	TokensPerSecond int
	BurstTokens     int
	Weight          int
}

// maxAccountsPerPart is how many accounts one value of the platform holds; more come in parts.
const maxAccountsPerPart = 4000

// PublishPlans publishes the plans of the accounts, in parts where they do not fit one value: the parts first, then
// the manifest that names them.
func (f *Fleet) PublishPlans(version uint64, accounts []Account) {
	if len(accounts) <= maxAccountsPerPart {
		f.Platform.Publish("plans", version, PlansText(version, accounts))
		return
	}
	var names []string
	for part := range slices.Chunk(accounts, maxAccountsPerPart) {
		name := fmt.Sprintf("plans.%d", len(names)+1)
		f.Platform.Publish(name, version, accountSections(part))
		names = append(names, name)
	}
	f.Platform.Publish("plans", version, fmt.Sprintf("[list]\nversion = %d\nparts = %s\n", version, strings.Join(names, ", ")))
}

// PlansText returns the plans list of the accounts.
func PlansText(version uint64, accounts []Account) string {
	return fmt.Sprintf("[list]\nversion = %d\n", version) + accountSections(accounts)
}

func accountSections(accounts []Account) string {
	var b strings.Builder
	for _, a := range accounts {
		d := catalog.DigestOf(a.Key)
		fmt.Fprintf(&b, "\n[account %s]\nplan = standard\nkeys = %s\nrate = %d\nburst = %d\nweight = %d\n",
			a.Name, hex.EncodeToString(d[:]), a.TokensPerSecond, a.BurstTokens, a.Weight)
	}
	return b.String()
}

// UsesText returns a uses list with one plan over one model and one service.
func UsesText(version uint64, model, service string) string {
	return fmt.Sprintf(`[list]
version = %d

[plan standard]
routes = drafts, calls

[route drafts]
kind = model
target = %s

[route calls]
kind = service
target = %s
repeat = no
cost = 1

[route timetable]
kind = open
target = %s
`, version, model, service, service)
}
