/** The configuration of the operators that is in force on this VM. */
import {describeFailure} from '../errors/failure.ts';
import {type Milliseconds} from '../model/units.ts';
import {type RegistryContext} from './registry-context.ts';
import {type ConfigurationDocument, type DocumentCodec} from './types.ts';

/** Longest call duration assumed before any route is configured. */
const defaultLongestCallMilliseconds: Milliseconds = 2000;

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

		const {version, routing} = read.value;
		if (version <= this.version) {
			return false;
		}

		this._context.log('info', 'configuration adopted', {version, replaced: this.version, routes: routing.routes.length});
		this._inForce = read.value;
		return true;
	}
}
