/** Stand-in for the platform's metadata store: items, leases, watches and transactions as PROTOCOL.md describes them. */
import {createServer} from 'node:http';

const maxItemsPerPage = 500;

/** Field with the term of a lease in seconds. */
const termField = 'ttlS_time';

const readText = async incoming => {
	const chunks = [];
	for await (const chunk of incoming) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
};

const send = (outgoing, status, body) => {
	const text = JSON.stringify(body);
	outgoing.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	outgoing.end(text);
};

export class Store {
	constructor() {
		this.items = new Map();
		this.events = [];
		this.leases = new Map();
		this.watches = new Set();
		this.revision = 100;
		this.lastLease = 0;
		this.oldestKept = 0;
		/** Called for each request with its URL and body; may return `delay`, `status`, or `lost` (`request` or `answer`). */
		this.disturb = undefined;
		this.server = createServer((incoming, outgoing) => {
			this._handle(incoming, outgoing).catch(() => {
				outgoing.destroy();
			});
		});
		this.server.keepAliveTimeout = 60_000;
	}

	async start() {
		return new Promise(resolve => {
			this.server.listen(0, '127.0.0.1', () => {
				resolve(`127.0.0.1:${this.server.address().port}`);
			});
		});
	}

	stop() {
		this.server.closeAllConnections();
		this.server.close();
		for (const timer of this.leases.values()) {
			clearTimeout(timer);
		}
	}

	put(key, value, lease = 0) {
		this.revision += 1;
		const item = {
			key, value: Buffer.from(value).toString('base64'), revision: this.revision, createRevision: this.items.get(key)?.createRevision ?? this.revision, lease,
		};
		this.items.set(key, item);
		this._publish(item);
		return this.revision;
	}

	putJson(key, value) {
		return this.put(key, JSON.stringify(value));
	}

	remove(key) {
		if (this.items.delete(key)) {
			this.revision += 1;
			this._publish({key, revision: this.revision, removed: true});
		}
	}

	value(key) {
		const item = this.items.get(key);
		return item === undefined ? undefined : Buffer.from(item.value, 'base64').toString();
	}

	keys(prefix = '') {
		return [...this.items.keys()].filter(key => key.startsWith(prefix)).toSorted();
	}

	_publish(event) {
		this.events.push(event);
		for (const wake of this.watches) {
			wake();
		}
	}

	async _handle(incoming, outgoing) {
		const text = await readText(incoming);
		const url = new URL(incoming.url, 'http://store');
		const verdict = this.disturb?.(incoming, url, text) ?? {};
		if (verdict.delay > 0) {
			await new Promise(resolve => {
				setTimeout(resolve, verdict.delay);
			});
		}

		if (verdict.status !== undefined) {
			send(outgoing, verdict.status, {error: 'rejected'});
			return;
		}

		if (verdict.lost === 'request') {
			return;
		}

		const answer = (status, body) => {
			if (verdict.lost !== 'answer') {
				send(outgoing, status, body);
			}
		};

		switch (`${incoming.method} ${url.pathname}`) {
			case 'GET /kv-key': {
				const item = this.items.get(url.searchParams.get('key') ?? '');
				answer(item === undefined ? 404 : 200, {...item, currentRev: this.revision});
				break;
			}

			case 'GET /kv-range': {
				const after = url.searchParams.get('after') ?? '';
				const found = this.keys(url.searchParams.get('prefix') ?? '').filter(key => key > after);
				const items = found.slice(0, maxItemsPerPage).map(key => this.items.get(key));
				answer(200, {items, morePages: items.length < found.length, currentRev: this.revision});
				break;
			}

			case 'GET /kv-watch': {
				await this._watch(url.searchParams, answer);
				break;
			}

			case 'POST /kv-txn': {
				this._transact(JSON.parse(text), answer);
				break;
			}

			default: {
				this._lease(incoming.method, url.pathname, text, answer);
			}
		}
	}

	async _watch(query, answer) {
		const prefix = query.get('prefix') ?? '';
		const after = Number(query.get('after'));
		if (after > this.revision || after < this.oldestKept) {
			answer(410, {error: 'no such history'});
			return;
		}

		const found = () => this.events.filter(event => event.revision > after && event.key.startsWith(prefix));
		const end = performance.now() + Math.min(30_000, Number(query.get('waitMs')));
		while (found().length === 0 && performance.now() < end) {
			await new Promise(resolve => {
				const wake = () => {
					clearTimeout(timer);
					this.watches.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, Math.max(1, end - performance.now()));
				this.watches.add(wake);
			});
		}

		answer(200, {events: found(), currentRev: this.revision});
	}

	_transact({expectedRev = [], puts = [], delete: deletions = []}, answer) {
		if (expectedRev.some(({key, revision}) => (this.items.get(key)?.revision ?? 0) !== revision)) {
			answer(412, {items: expectedRev.map(({key}) => this.items.get(key) ?? {key, revision: 0})});
			return;
		}

		if (puts.some(({lease}) => lease !== undefined && lease !== 0 && !this.leases.has(lease))) {
			answer(404, {error: 'no such lease'});
			return;
		}

		for (const {key, value, lease} of puts) {
			this.put(key, Buffer.from(value, 'base64'), lease);
		}

		for (const key of deletions) {
			this.remove(key);
		}

		answer(200, {revision: this.revision});
	}

	_lease(method, path, text, answer) {
		if (method === 'POST' && path === '/kv-lease') {
			this.lastLease += 1;
			const seconds = Math.max(1, Math.min(600, JSON.parse(text)[termField]));
			this._renew(this.lastLease, seconds);
			answer(200, {lease: this.lastLease, [termField]: seconds});
			return;
		}

		const lease = Number(path.slice(path.lastIndexOf('/') + 1));
		if (!this.leases.has(lease)) {
			answer(404, {error: 'no such lease'});
			return;
		}

		const {seconds} = this.leases.get(lease);
		if (method === 'DELETE') {
			this._end(lease);
		} else {
			this._renew(lease, seconds);
		}

		answer(200, {[termField]: seconds});
	}

	_renew(lease, seconds) {
		clearTimeout(this.leases.get(lease)?.timer);
		this.leases.set(lease, {
			seconds,
			timer: setTimeout(() => {
				this._end(lease);
			}, seconds * 1000),
		});
	}

	_end(lease) {
		clearTimeout(this.leases.get(lease)?.timer);
		this.leases.delete(lease);
		for (const key of this.keys().filter(key => this.items.get(key).lease === lease)) {
			this.remove(key);
		}
	}
}
