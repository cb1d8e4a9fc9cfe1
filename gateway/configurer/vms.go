package configurer

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/pkg/patcher"
	"github.com/pistachiovane/pistachiovane/service/fleet"
	"github.com/pistachiovane/pistachiovane/service/platform"
)

// formatVMs returns the text of a VM list, with one section for each VM, so that it can be sent as deltas.
func formatVMs(v platform.VMList) string {
	var b strings.Builder
	for i := range v.VMs {
		line, err := json.Marshal(v.VMs[i])
		if err != nil {
			continue
		}
		b.WriteString("[" + v.VMs[i].ID + "]\n")
		b.Write(line)
		b.WriteString("\n")
	}
	return b.String()
}

// parseVMs parses a VM list that formatVMs wrote, sorted by ID. It leaves out the sections that are not understood.
func parseVMs(l fleet.List) platform.VMList {
	out := platform.VMList{Version: l.Version}
	for title, section := range patcher.Sections(l.Text) {
		vm, err := platform.DecodeVM([]byte(strings.TrimPrefix(section, title)))
		if err != nil {
			out.Malformed = append(out.Malformed, errors.Wrapf(err, "section %s", title))
			continue
		}
		out.VMs = append(out.VMs, vm)
	}
	slices.SortFunc(out.VMs, func(a, b platform.VM) int { return strings.Compare(a.ID, b.ID) })
	return out
}
