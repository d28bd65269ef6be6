/** Selects the headers to forward, in both directions: drops hop-by-hop headers (RFC 9110, 7.6.1) and the `jaydale-` namespace. */

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

/** Not copied: this VM sends its own value. */
const regeneratedName = 'traceparent';

const internalPrefix = 'jaydale-';

type HeaderValue = string | string[] | undefined;
type HeaderMap = Readonly<Record<string, HeaderValue>>;

/** Returns the header names that the `Connection` header lists as hop-by-hop. */
function declaredHopByHop(headers: HeaderMap): ReadonlySet<string> {
	const {connection} = headers;
	if (connection === undefined || connection === 'keep-alive' || connection === 'close') {
		return new Set();
	}

	return new Set(String(connection).toLowerCase().split(',').map(name => name.trim()));
}

/**
 * Returns the headers to forward, as a flat list of names and values for undici or node:http. Drops everything under
 * `jaydale-`, because the other side would trust a forged `jaydale-outcome`, load report or retry header.
 */
export function forwardedHeaders(headers: HeaderMap): string[] {
	const declared = declaredHopByHop(headers);
	const forwarded: string[] = [];
	for (const name of Object.keys(headers)) {
		const value = headers[name];
		if (value === undefined || hopByHopNames.has(name) || name === regeneratedName || name.startsWith(internalPrefix) || declared.has(name)) {
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
