// The parts of prom-client that an entry VM uses, for the bundle that deploy/system.toml builds. The whole package includes
// default metrics and a tracing library, which are not used here and would lengthen every start.
module.exports = {
	Counter: require('../node_modules/prom-client/lib/counter.js'),
	Gauge: require('../node_modules/prom-client/lib/gauge.js'),
	Histogram: require('../node_modules/prom-client/lib/histogram.js'),
	Registry: require('../node_modules/prom-client/lib/registry.js'),
};
