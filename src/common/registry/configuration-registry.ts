/** The configuration of the operators that is in force on this VM. */
import {describeFailure} from '../errors/failure.ts';
import {type Milliseconds} from '../model/units.ts';
import {type RegistryContext} from './registry-context.ts';
import {type ConfigurationDocument, type DocumentCodec} from './types.ts';

/** Longest call duration assumed before any route is configured. */
const defaultLongestCallMilliseconds: Milliseconds = 2000;

/** Each field has a line of its own up to this number; one event writes at most ten lines with the same message. */
const maxUnknownFieldLines = 10;

/** The further fields share one line of this length, so that a field unknown in each of hundreds of routes cannot flood the logs of a fleet. */
const maxUnknownFieldCharacters = 1000;

export class ConfigurationRegistry {
	private readonly _context: RegistryContext;
	private readonly _documents: DocumentCodec;
	private _inForce: ConfigurationDocument | undefined;

	constructor(context: RegistryContext, documents: DocumentCodec) {
		this._context = context;
		this._documents = documents;
	}

	get inForce(): ConfigurationDocument | undefined {
		return this._inForce;
	}

	/** Version in force; 0 before the first configuration. */
	get version(): number {
		return this._inForce?.version ?? 0;
	}

	/** Longest timeout of all routes. */
	get longestCallMilliseconds(): Milliseconds {
		const routes = this._inForce?.routing.routes ?? [];
		return routes.length === 0 ? defaultLongestCallMilliseconds : Math.max(...routes.map(route => route.rule.timeoutMilliseconds));
	}

	/** Applies a document; true = it is now in force. An older or invalid one is rejected. */
	apply(value: string): boolean {
		const read = this._documents.configuration(value);
		if (read.isErr()) {
			const {route} = read.error;
			this._context.log('error', 'configuration rejected; the one in force stays', {
				versionInForce: this.version, failure: describeFailure(read.error), ...(route === undefined ? {} : {route}),
			});
			this._context.emit({type: 'configuration-rejected', route});
			return false;
		}

		const {version, routing, organisations, unknownFields = []} = read.value;
		if (version <= this.version) {
			return false;
		}

		this._context.log('info', 'configuration adopted', {
			version, replaced: this.version, routes: routing.routes.length, ...(organisations === undefined ? {} : {organisations: organisations.size}),
		});
		this._logUnknownFields(version, unknownFields);
		this._inForce = read.value;
		return true;
	}

	private _logUnknownFields(version: number, paths: readonly string[]): void {
		for (const field of paths.slice(0, maxUnknownFieldLines)) {
			this._context.log('warn', 'field of the configuration is not understood and has no effect', {version, field: field.slice(0, maxUnknownFieldCharacters)});
		}

		const further = paths.slice(maxUnknownFieldLines);
		if (further.length > 0) {
			this._context.log('warn', 'further fields of the configuration are not understood and have no effect', {
				version, count: further.length, fields: further.join(', ').slice(0, maxUnknownFieldCharacters),
			});
		}
	}
}
