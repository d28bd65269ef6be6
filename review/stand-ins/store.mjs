/** In-memory stand-in for the platform's metadata store, for the scripts of the review. */
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

const historyMilliseconds = 20_000;
const termField = 'ttlS_time';

export class Store {
	/** Called with `{method, path, text, from}` before a request is executed; may return `drop`, `lose` or a delay in milliseconds. */
	onRequest = () => undefined;
	#items = new Map();
	#events = [];
	#leases = new Map();
	#waiting = new Set();
	#revision = 100;
	#lastLease = 0;

	async start(address = '127.0.0.1') {
		this.server = createServer(async (incoming, outgoing) => this.#handle(incoming, outgoing));
		await new Promise(resolve => {
			this.server.listen(0, address, resolve);
		});
		this.address = `${address}:${this.server.address().port}`;
		return this.address;
	}

	stop() {
		this.server.closeAllConnections();
		this.server.close();
		for (const {timer} of this.#leases.values()) {
			clearTimeout(timer);
		}
	}

	/** Writes a document like the operator or a backend server; returns the revision, which is the confirmation. */
	put(key, document, lease = 0) {
		return this.#write(key, Buffer.from(JSON.stringify(document)).toString('base64'), lease);
	}

	remove(key) {
		if (this.#items.delete(key)) {
			this.#revision++;
			this.#publish({key, revision: this.#revision, removed: true});
		}
	}

	get(key) {
		const item = this.#items.get(key);
		return item === undefined ? undefined : JSON.parse(Buffer.from(item.value, 'base64').toString());
	}

	keys(prefix) {
		return [...this.#items.keys()].filter(key => key.startsWith(prefix)).toSorted();
	}

	#write(key, value, lease) {
		this.#revision++;
		const item = {
			key, value, revision: this.#revision, createRevision: this.#items.get(key)?.createRevision ?? this.#revision, lease,
		};
		this.#items.set(key, item);
		this.#publish(item);
		return this.#revision;
	}

	#publish(event) {
		const at = Date.now();
		this.#events.push({event, at});
		while (this.#events[0].at < at - historyMilliseconds) {
			this.forgottenUpTo = this.#events.shift().event.revision;
		}

		for (const wake of this.#waiting) {
			wake();
		}
	}

	async #handle(incoming, outgoing) {
		const chunks = [];
		for await (const chunk of incoming) {
			chunks.push(chunk);
		}

		const url = new URL(incoming.url, 'http://store');
		const text = Buffer.concat(chunks).toString();
		const behaviour = this.onRequest({
			method: incoming.method, path: url.pathname, query: url.searchParams, text, from: incoming.socket.remoteAddress,
		});
		if (behaviour === 'drop') {
			return;
		}

		if (typeof behaviour === 'number') {
			await delay(behaviour);
		}

		const [status, body] = await this.#execute(`${incoming.method} ${url.pathname}`, url.searchParams, text);
		if (behaviour === 'lose') {
			return;
		}

		const answer = JSON.stringify(body);
		outgoing.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(answer)});
		outgoing.end(answer);
	}

	async #execute(call, query, text) {
		switch (call) {
			case 'GET /kv-key': {
				const item = this.#items.get(query.get('key'));
				return item === undefined ? [404, {currentRev: this.#revision}] : [200, {...item, currentRev: this.#revision}];
			}

			case 'GET /kv-range': {
				const after = query.get('after') ?? '';
				const found = this.keys(query.get('prefix') ?? '').filter(key => key > after);
				return [200, {items: found.slice(0, 500).map(key => this.#items.get(key)), morePages: found.length > 500, currentRev: this.#revision}];
			}

			case 'GET /kv-watch': {
				return this.#watch(query);
			}

			case 'POST /kv-txn': {
				return this.#transact(JSON.parse(text));
			}

			default: {
				return this.#lease(call, text);
			}
		}
	}

	async #watch(query) {
		const after = Number(query.get('after'));
		if (after > this.#revision || after < (this.forgottenUpTo ?? 0)) {
			return [410, {error: 'no such history'}];
		}

		const find = () => this.#events.map(({event}) => event).filter(event => event.revision > after && event.key.startsWith(query.get('prefix') ?? ''));
		if (find().length === 0) {
			await new Promise(resolve => {
				const wake = () => {
					clearTimeout(timer);
					this.#waiting.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, Number(query.get('waitMs')));
				this.#waiting.add(wake);
			});
		}

		return [200, {events: find(), currentRev: this.#revision}];
	}

	#transact({expectedRev = [], puts = [], delete: deletions = []}) {
		if (expectedRev.some(({key, revision}) => (this.#items.get(key)?.revision ?? 0) !== revision)) {
			return [412, {items: expectedRev.map(({key}) => this.#items.get(key) ?? {key, revision: 0})}];
		}

		if (puts.some(({lease}) => lease !== undefined && lease !== 0 && !this.#leases.has(lease))) {
			return [404, {error: 'no such lease'}];
		}

		if ([...puts.map(({key}) => key), ...deletions].some(key => key.startsWith('op/') || key.startsWith('servers/'))) {
			return [403, {error: 'not yours'}];
		}

		for (const {key, value, lease = 0} of puts) {
			this.#write(key, value, lease);
		}

		for (const key of deletions) {
			this.remove(key);
		}

		return [200, {revision: this.#revision}];
	}

	#lease(call, text) {
		if (call === 'POST /kv-lease') {
			this.#lastLease++;
			const seconds = Math.min(600, Math.max(1, JSON.parse(text)[termField]));
			this.#renew(this.#lastLease, seconds);
			return [200, {lease: this.#lastLease, [termField]: seconds}];
		}

		const lease = Number(call.slice(call.lastIndexOf('/') + 1));
		const held = this.#leases.get(lease);
		if (held === undefined) {
			return [404, {error: 'no such lease'}];
		}

		if (call.startsWith('DELETE')) {
			this.#end(lease);
		} else {
			this.#renew(lease, held.seconds);
		}

		return [200, {[termField]: held.seconds}];
	}

	#renew(lease, seconds) {
		clearTimeout(this.#leases.get(lease)?.timer);
		this.#leases.set(lease, {
			seconds, timer: setTimeout(() => {
				this.#end(lease);
			}, seconds * 1000),
		});
	}

	#end(lease) {
		clearTimeout(this.#leases.get(lease)?.timer);
		this.#leases.delete(lease);
		for (const item of this.#items.values()) {
			if (item.lease === lease) {
				this.remove(item.key);
			}
		}
	}
}
