// The parts of prom-client that an entry VM uses, for the bundle of deploy/system.toml: the whole package brings default
// metrics with a tracing library, which nothing here asks for and each start would pay for.
module.exports = {
	Counter: require('../node_modules/prom-client/lib/counter.js'),
	Gauge: require('../node_modules/prom-client/lib/gauge.js'),
	Histogram: require('../node_modules/prom-client/lib/histogram.js'),
	Registry: require('../node_modules/prom-client/lib/registry.js'),
};
