// The parts of undici that an entry VM uses, for the bundle that deploy/system.toml builds. Loading the whole package (fetch,
// WebSocket, caches, mocks) takes 6 MB more memory per process and lengthens every start.
const {Client, Pool, buildConnector, errors} = {
	Client: require('../node_modules/undici/lib/dispatcher/client.js'),
	Pool: require('../node_modules/undici/lib/dispatcher/pool.js'),
	buildConnector: require('../node_modules/undici/lib/core/connect.js'),
	errors: require('../node_modules/undici/lib/core/errors.js'),
};
module.exports = {
	Client, Pool, buildConnector, errors,
};
