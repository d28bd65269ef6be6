/** Finds the route of a call: by host, then by the longest prefix of its path. */
import {type RandomSource} from '../model/units.ts';
import {type Route} from './types.ts';
import {WeightedSplit} from './weighted-split.ts';

/** A route, and the service that this call of it goes to. */
export type RoutedCall = {readonly route: Route; readonly service: string};

type Entry = {readonly route: Route; readonly split: WeightedSplit};

/** Host and path of a call: the name alone, in lower case, since a port says nothing of who is meant. */
function hostName(host: string): string {
	const colon = host.lastIndexOf(':');
	return (colon === -1 || host.endsWith(']') ? host : host.slice(0, colon)).toLowerCase();
}

/**
 * The routes in force. Prefixes end with a slash, so the longest one that fits is found by cutting the path at its
 * slashes from the end: the cost grows with the depth of the path and not with the number of routes.
 */
export class RouteTable {
	private readonly _random: RandomSource;
	private _hosts = new Map<string, Map<string, Entry>>();

	constructor(random: RandomSource) {
		this._random = random;
	}

	/** Puts other routes in force. A split that has not changed goes on where it stood. */
	replace(routes: readonly Route[]): void {
		const hosts = new Map<string, Map<string, Entry>>();
		for (const route of routes) {
			const known = this._hosts.get(route.host)?.get(route.prefix);
			const split = known?.split.isOf(route.parts) === true ? known.split : new WeightedSplit(route.parts, this._random.next());
			const prefixes = hosts.get(route.host) ?? new Map<string, Entry>();
			prefixes.set(route.prefix, {route, split});
			hosts.set(route.host, prefixes);
		}

		this._hosts = hosts;
	}

	/** The route of a call and the service whose turn it is; undefined = no route fits. */
	match(host: string, url: string): RoutedCall | undefined {
		const prefixes = this._hosts.get(hostName(host));
		if (prefixes === undefined) {
			return undefined;
		}

		const query = url.indexOf('?');
		const path = query === -1 ? url : url.slice(0, query);
		for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
			const entry = prefixes.get(path.slice(0, end + 1));
			if (entry !== undefined) {
				return {route: entry.route, service: entry.split.next()};
			}
		}

		return undefined;
	}
}
