package assembler

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/pistachiovane/pistachiovane/pkg/catalog"
)

// Account is a client account of a stand-in fleet. It contains the key itself, for the callers of the tests; the plans
// list contains the digest of the key only.
type Account struct {
	Name string
	Key  string
	// TokensPerSecond and BurstTokens are the limit of the account over the whole fleet.
	TokensPerSecond int
	BurstTokens     int
	// Weight is the account's weight in fair queues.
	Weight int
}

// maxAccountsPerPart is the largest number of accounts in one published list. Plans with more accounts are published in
// parts, because the platform limits the size of a list.
const maxAccountsPerPart = 4000

// PublishPlans publishes the plans list of the accounts. With more than maxAccountsPerPart accounts it publishes parts,
// and after them the list that names the parts, so that a reader of that list finds all of them.
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
	f.Platform.Publish("plans", version,
		fmt.Sprintf("[list]\nversion = %d\nparts = %s\n", version, strings.Join(names, ", ")))
}

// PlansText returns the text of a plans list that contains all accounts, without parts.
func PlansText(version uint64, accounts []Account) string {
	return fmt.Sprintf("[list]\nversion = %d\n", version) + accountSections(accounts)
}

// accountSections returns one section of a plans list for each account, all on the plan "standard" of UsesText.
func accountSections(accounts []Account) string {
	var b strings.Builder
	for _, a := range accounts {
		d := catalog.DigestOf(a.Key)
		fmt.Fprintf(&b, "\n[account %s]\nplan = standard\nkeys = %s\nrate = %d\nburst = %d\nweight = %d\n",
			a.Name, hex.EncodeToString(d[:]), a.TokensPerSecond, a.BurstTokens, a.Weight)
	}
	return b.String()
}

// UsesText returns the text of a uses list with the plan "standard", which allows the model and calls of the service. A
// call costs one token and must not run twice. The route "timetable" (kind "open") lets callers without an account read
// from the service.
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
