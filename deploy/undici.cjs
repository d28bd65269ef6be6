// The parts of undici that an entry VM uses, for the bundle of deploy/system.toml: loading the whole package (fetch,
// web sockets, caches, mocks) costs each process 6 MB more and a longer start.
const {Client, Pool, buildConnector, errors} = {
	Client: require('../node_modules/undici/lib/dispatcher/client.js'),
	Pool: require('../node_modules/undici/lib/dispatcher/pool.js'),
	buildConnector: require('../node_modules/undici/lib/core/connect.js'),
	errors: require('../node_modules/undici/lib/core/errors.js'),
};
module.exports = {
	Client, Pool, buildConnector, errors,
};
