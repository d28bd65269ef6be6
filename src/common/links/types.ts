/** Links of this VM to backend servers, and the other VMs (relays) through which it reaches those that it has no link to. */
import {type Milliseconds} from '../model/units.ts';
import type chart from '../../../charts/backend-link.json';

/** `IP:PORT` of a VM's peers endpoint. */
export type RelayAddress = string;

/** A VM that may forward bytes to backend servers for this one. */
export type Relay = {readonly address: RelayAddress; readonly dataCentre: string};

/**
 * `direct` = connections go straight to the backend server; `relayed` = they go through another VM; `unreachable` = no
 * VM that was asked has a link either.
 */
export type LinkState = keyof typeof chart.states;

/** How connections to a backend server are opened. */
export type Path = {readonly state: LinkState; readonly via: RelayAddress | undefined};

/** Identifies one check of a path. */
export type LinkCheckId = number;

/** Result of a check. */
export type LinkCheckResult
	/** The backend server responded. */
	= | 'answered'
	/** The connection was refused; through a relay this also proves that the process has ended. */
		| 'refused'
	/** No response in time, or the connection was reset. */
		| 'failed'
	/** The relay refuses connections, has no link itself, or forwards no more connections. */
		| 'no-relay';

/** A check to execute: one request on a new connection. */
export type LinkCheck = {
	readonly checkId: LinkCheckId;
	readonly service: string;
	/** Path of the load endpoint. */
	readonly path: string;
	readonly identity: string;
	readonly address: string;
	readonly port: number;
	readonly processStartedAt?: number | undefined;
	readonly via: RelayAddress | undefined;
	readonly timeoutMilliseconds: Milliseconds;
};

/** A change of the path to a backend server, for logs and metrics. */
export type LinkChange = {
	readonly identity: string;
	readonly service: string;
	readonly state: LinkState;
	readonly via: RelayAddress | undefined;
	/** Results of the checks that led to it; undefined = that path was not checked. */
	readonly direct: LinkCheckResult | undefined;
	readonly relayed: LinkCheckResult | undefined;
	/** Number of backend servers without a direct link, after the change. */
	readonly lostLinks: number;
};
