package pslink

import (
	"math/rand/v2"

	"persimmonstep/internal/process/psserver"
)

// spread draws servers at random, in turn from each failure domain.
func spread(servers []psserver.Entry, n int) []psserver.Entry {
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	byDomain := map[string][]psserver.Entry{}
	var domains []string
	for _, e := range servers {
		if byDomain[e.FailureDomain] == nil {
			domains = append(domains, e.FailureDomain)
		}
		byDomain[e.FailureDomain] = append(byDomain[e.FailureDomain], e)
	}
	var drawn []psserver.Entry
	for round := 0; len(drawn) < min(n, len(servers)); round++ {
		for _, d := range domains {
			if round < len(byDomain[d]) && len(drawn) < n {
				drawn = append(drawn, byDomain[d][round])
			}
		}
	}
	return drawn
}
