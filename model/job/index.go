package job

import "strings"

// ConfigIndex finds queues without a look at each one. Requests look up a queue each, and a configuration may have thousands.
type ConfigIndex struct {
	byName map[string]int
	// byHost holds the queues of each host, in lower case, in the order of the configuration.
	byHost map[string][]int
	// teamByKey holds the names of the teams by the digests of their keys.
	teamByKey map[keyDigest]string
}

// BuildIndex prepares the lookups of TeamOf, which needs it, and of Match and Queue, which otherwise look at each queue. Queues and
// teams must not change afterwards.
func (c *Config) BuildIndex() {
	index := &ConfigIndex{byName: make(map[string]int, len(c.Queues)), byHost: map[string][]int{}, teamByKey: indexKeys(c.Teams)}
	for i, q := range c.Queues {
		if _, found := index.byName[q.Name]; !found {
			index.byName[q.Name] = i
		}
		host := strings.ToLower(q.Host)
		index.byHost[host] = append(index.byHost[host], i)
	}
	c.Index = index
}

// Queue returns the queue with a name.
func (c *Config) Queue(name string) (Queue, bool) {
	if c.Index != nil {
		i, ok := c.Index.byName[name]
		if !ok {
			return Queue{}, false
		}
		return c.Queues[i], true
	}
	for _, q := range c.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// Match returns the queue of the host with the longest prefix of path; of several the first one.
func (c *Config) Match(host, path string) (Queue, bool) {
	longest := -1
	consider := func(i int) {
		prefix := c.Queues[i].Prefix
		if strings.HasPrefix(path, prefix) && (longest < 0 || len(prefix) > len(c.Queues[longest].Prefix)) {
			longest = i
		}
	}
	if c.Index != nil {
		for _, i := range c.Index.byHost[strings.ToLower(host)] {
			consider(i)
		}
	} else {
		for i, q := range c.Queues {
			if strings.EqualFold(q.Host, host) {
				consider(i)
			}
		}
	}
	if longest < 0 {
		return Queue{}, false
	}
	return c.Queues[longest], true
}
