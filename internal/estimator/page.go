package estimator

import (
	"fmt"
	"io"
	"sort"
)

// WriteSlopes writes the measured slopes as a Markdown table.
func WriteSlopes(w io.Writer, slopes Slopes) {
	names := make([]string, 0, len(slopes))
	for name := range slopes {
		names = append(names, name)
	}
	sort.Strings(names)
	_, _ = fmt.Fprintln(w, "| measure | sizes: values | fixed | a unit |")
	_, _ = fmt.Fprintln(w, "|---|---|---|---|")
	for _, name := range names {
		s := slopes[name]
		points := ""
		for _, p := range s.Points {
			points += fmt.Sprintf("%d: %s; ", p.Size, quantity(p.Value, s.Unit))
		}
		_, _ = fmt.Fprintf(w, "| %s | %s| %s | %s/%s |\n", name, points,
			quantity(s.Fixed, s.Unit), quantity(s.PerUnit, s.Unit), s.Per)
	}
}

// WriteNeeds writes what each role needs at a size as a Markdown table, with
// the bounds that a row breaks.
func WriteNeeds(w io.Writer, needs []Need) {
	_, _ = fmt.Fprintln(w, "| role | mechanism | memory | network | core | store calls, fleet | over its bound |")
	_, _ = fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
	for _, n := range needs {
		role := n.Role
		if n.Missing != "" {
			role += " (not built: " + n.Missing + ")"
		}
		_, _ = fmt.Fprintf(w, "| %s | %s | %s | %s/s | %.3f%% | %.1f/s | %s |\n", role, n.Mechanism,
			quantity(n.Memory, "B"), quantity(n.Network, "B"), 100*n.Core, n.Store, broken(n))
	}
}

func broken(n Need) string {
	text := ""
	add := func(name string, value, bound float64) {
		if value > bound {
			text += fmt.Sprintf("%s x%.1f ", name, value/bound)
		}
	}
	add("memory", n.Memory, MaxMemory)
	add("network", n.Network, MaxNetwork)
	add("core", n.Core, MaxCore)
	add("store", n.Store, StoreReads)
	if text == "" {
		return "no"
	}
	return text
}

// Sum adds up the rows of a daemon as built, or with the missing mechanisms in
// place of what they replace.
func Sum(needs []Need, withMissing bool) Need {
	replaced := map[string]bool{}
	for _, n := range needs {
		replaced[n.Role] = replaced[n.Role] || n.Missing != ""
	}
	total := Need{Role: "sum as built"}
	if withMissing {
		total.Role = "sum with what is missing"
	}
	for _, n := range needs {
		if n.Missing != "" && !withMissing || n.Missing == "" && withMissing && replaced[n.Role] {
			continue
		}
		total.Memory += n.Memory
		total.Network += n.Network
		total.Core += n.Core
		total.Store += n.Store
	}
	return total
}

func quantity(value float64, unit string) string {
	suffixes := []string{"", "k", "M", "G"}
	if unit == "ns" {
		units := []string{"ns", "µs", "ms", "s"}
		i := 0
		for value >= 1000 && i < len(units)-1 {
			value /= 1000
			i++
		}
		return fmt.Sprintf("%.3g %s", value, units[i])
	}
	i := 0
	for value >= 1000 && i < len(suffixes)-1 {
		value /= 1000
		i++
	}
	return fmt.Sprintf("%.3g %s%s", value, suffixes[i], unit)
}
