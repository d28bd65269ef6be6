/** Route lookup: exact match on the host, then longest-prefix match on the path. */
import {type RandomSource} from '../model/units.ts';
import {type Route} from './types.ts';
import {WeightedSplit} from './weighted-split.ts';

/** The matched route and the service chosen for one call. */
export type RoutedCall = {readonly route: Route; readonly service: string};

type RouteEntry = {readonly route: Route; readonly split: WeightedSplit};

/**
 * A path segment `.` or `..`, also percent-encoded. Backend servers that resolve such segments run the call under another path
 * than the one that was matched.
 */
const dotSegmentPattern = /(?:^|[\/\\]|%2f|%5c)(?:\.|%2e){1,2}(?:$|[\/\\;]|%2f|%5c)/iv;

/** Whether the path of a URL has a segment `.` or `..`. */
export function hasDotSegment(url: string): boolean {
	const query = url.indexOf('?');
	return dotSegmentPattern.test(query === -1 ? url : url.slice(0, query));
}

/** Returns the host in lower case and without its port: routes are configured by host name only. */
function normalizedHost(host: string): string {
	const colon = host.lastIndexOf(':');
	return (colon === -1 || host.endsWith(']') ? host : host.slice(0, colon)).toLowerCase();
}

/**
 * The active routes. Every prefix ends with a slash, so `match` shortens the path at its slashes from the end until a
 * prefix is found. The cost depends on the depth of the path and not on the number of routes.
 */
export class RouteTable {
	private readonly _random: RandomSource;
	private _hosts = new Map<string, Map<string, RouteEntry>>();

	constructor(random: RandomSource) {
		this._random = random;
	}

	/** Replaces all routes. A weighted split whose parts are unchanged keeps its position in the sequence. */
	replace(routes: readonly Route[]): void {
		const hosts = new Map<string, Map<string, RouteEntry>>();
		for (const route of routes) {
			const existing = this._hosts.get(route.host)?.get(route.prefix);
			const split = existing?.split.hasSameParts(route.parts) === true ? existing.split : new WeightedSplit(route.parts, this._random.next());
			const prefixes = hosts.get(route.host) ?? new Map<string, RouteEntry>();
			prefixes.set(route.prefix, {route, split});
			hosts.set(route.host, prefixes);
		}

		this._hosts = hosts;
	}

	/** Returns the route and the service for the next call of it, or undefined if no route matches. */
	match(host: string, url: string): RoutedCall | undefined {
		const entry = this._find(host, url);
		return entry === undefined ? undefined : {route: entry.route, service: entry.split.next()};
	}

	/** Returns the route without choosing a service, so that no call is counted in its weighted split. */
	findRoute(host: string, url: string): Route | undefined {
		return this._find(host, url)?.route;
	}

	private _find(host: string, url: string): RouteEntry | undefined {
		const prefixes = this._hosts.get(normalizedHost(host));
		if (prefixes === undefined) {
			return undefined;
		}

		const query = url.indexOf('?');
		const path = query === -1 ? url : url.slice(0, query);
		for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
			const entry = prefixes.get(path.slice(0, end + 1));
			if (entry !== undefined) {
				return entry;
			}
		}

		return undefined;
	}
}
