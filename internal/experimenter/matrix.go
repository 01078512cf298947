package experimenter

import "time"

// ShareMatrix returns the setups of the experiments on shares that
// docs/MEASUREMENTS.md reports: small and large workspaces with even, skewed and
// moving demand, each under all policies.
func ShareMatrix(seed uint64) []Setup {
	shapes := []Setup{
		{Hosts: 8, Rate: 10, Burst: 10, Load: 0.7},
		{Hosts: 8, Rate: 30, Burst: 20, Load: 0.7},
		{Hosts: 8, Rate: 160, Burst: 80, Load: 0.7},
		{Hosts: 8, Rate: 160, Burst: 80, Load: 0.9},
		{Hosts: 8, Rate: 160, Burst: 80, Load: 0.8, Skew: 0.8, HotHostInterval: 5 * time.Second},
		{Hosts: 8, Rate: 1000, Burst: 200, Load: 0.9, Skew: 0.5},
		{Hosts: 8, Rate: 160, Burst: 80, Load: 5},
	}
	var setups []Setup
	for _, shape := range shapes {
		for _, policy := range []Policy{EvenSplit, NoBorrowing, Shares} {
			shape.Policy = policy
			shape.LinkLatency = 10 * time.Millisecond
			shape.BorrowTimeout = 60 * time.Millisecond
			shape.Duration = 120 * time.Second
			shape.Seed = seed
			setups = append(setups, shape)
		}
	}
	return setups
}
