/** Which headers cross jaydale, in each direction (RFC 9110, 7.6.1, and the `jaydale-` namespace). */

const hopByHopNames: ReadonlySet<string> = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'expect',
]);

/** Passed on with a value of this VM's own. */
const rewrittenName = 'traceparent';

const internalPrefix = 'jaydale-';

type HeaderValue = string | string[] | undefined;
type HeaderMap = Readonly<Record<string, HeaderValue>>;

/** Names that a `Connection` header declares to be for this hop alone. */
function declaredHopByHop(headers: HeaderMap): ReadonlySet<string> {
	const {connection} = headers;
	if (connection === undefined || connection === 'keep-alive' || connection === 'close') {
		return new Set();
	}

	return new Set(String(connection).toLowerCase().split(',').map(name => name.trim()));
}

/**
 * The headers that pass on, as a flat list of names and values for undici or node:http. Guards against
 * forged internal headers: a caller that sends its own `jaydale-outcome`, load report or retry mark
 * would be believed by the other side, so everything under `jaydale-` stops here.
 */
export function forwardedHeaders(headers: HeaderMap): string[] {
	const declared = declaredHopByHop(headers);
	const forwarded: string[] = [];
	for (const name of Object.keys(headers)) {
		const value = headers[name];
		if (value === undefined || hopByHopNames.has(name) || name === rewrittenName || name.startsWith(internalPrefix) || declared.has(name)) {
			continue;
		}

		if (typeof value === 'string') {
			forwarded.push(name, value);
			continue;
		}

		for (const single of value) {
			forwarded.push(name, single);
		}
	}

	return forwarded;
}
