// Replaces undici's HTTP/2 client in the bundle. An entry VM never uses HTTP/2 (`allowH2: false`), and the client would load
// Node.js's `http2` module at every start.
const connectHttp2 = () => {
	throw new TypeError('HTTP/2 is no part of this bundle');
};

module.exports = connectHttp2;
