package estimator

import (
	"fmt"
	"io"
	"sort"
)

// WriteFits writes the measures and their linear fits as a Markdown table.
func WriteFits(w io.Writer, fits LinearFits) {
	names := make([]string, 0, len(fits))
	for name := range fits {
		names = append(names, name)
	}
	sort.Strings(names)
	_, _ = fmt.Fprintln(w, "| measure | sizes: values | fixed | a unit |")
	_, _ = fmt.Fprintln(w, "|---|---|---|---|")
	for _, name := range names {
		f := fits[name]
		points := ""
		for _, p := range f.Points {
			points += fmt.Sprintf("%d: %s; ", p.Size, formatQuantity(p.Value, f.Unit))
		}
		_, _ = fmt.Fprintf(w, "| %s | %s| %s | %s/%s |\n", name, points,
			formatQuantity(f.Fixed, f.Unit), formatQuantity(f.PerUnit, f.Unit), f.Per)
	}
}

// WriteNeeds writes what each role needs as a Markdown table. The last column
// lists the bounds that the row exceeds.
func WriteNeeds(w io.Writer, needs []Need) {
	_, _ = fmt.Fprintln(w, "| role | mechanism | memory | network | core | store calls, fleet | over its bound |")
	_, _ = fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
	for _, n := range needs {
		role := n.Role
		if n.Missing != "" {
			role += " (not built: " + n.Missing + ")"
		}
		_, _ = fmt.Fprintf(w, "| %s | %s | %s | %s/s | %.3f%% | %.1f/s | %s |\n", role, n.Mechanism,
			formatQuantity(n.Memory, "B"), formatQuantity(n.Network, "B"), 100*n.Core, n.StoreCalls, exceededBounds(n))
	}
}

// exceededBounds lists the bounds that a row exceeds, each with the ratio of the
// value to the bound. It returns "no" if there are none.
func exceededBounds(n Need) string {
	text := ""
	add := func(name string, value, bound float64) {
		if value > bound {
			text += fmt.Sprintf("%s x%.1f ", name, value/bound)
		}
	}
	add("memory", n.Memory, MaxMemory)
	add("network", n.Network, MaxNetwork)
	add("core", n.Core, MaxCore)
	add("store", n.StoreCalls, MaxStoreCalls)
	if text == "" {
		return "no"
	}
	return text
}

// Sum adds up the rows of one daemon. With withMissing, the rows that assume a
// missing mechanism replace the other rows of their role; without it, they are
// left out.
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
		total.StoreCalls += n.StoreCalls
	}
	return total
}

// formatQuantity formats a value with three significant digits and a prefix for
// its magnitude, such as 1.5 kB or 20 µs.
func formatQuantity(value float64, unit string) string {
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
