// In the place of undici's HTTP/2 client, which an entry VM never uses (`allowH2: false`): node's own HTTP/2 would be loaded
// with it at every start.
const connectHttp2 = () => {
	throw new TypeError('HTTP/2 is no part of this bundle');
};

module.exports = connectHttp2;
