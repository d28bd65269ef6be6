/** Stand-in for a backend server of the platform: slots, a queue, heartbeats, and hooks by which a script disturbs it. */
import {createServer} from 'node:net';
import {takeMessage} from './http.mjs';

const heartbeatMilliseconds = 1500;
const healthPath = '/healthz';

export class Backend {
	/** What ran here: `{id, path, server, at}`. */
	runs = [];
	/** All requests received here, health probes included. */
	received = [];
	/** Called with the request once it runs; resolves with `{status, headers, body}`, or undefined to send nothing. */
	onRun = async () => ({status: 200, body: 'ok'});
	/** Called with each request before anything else is done with it. */
	onReceive = () => undefined;
	/** Called with the request and the bytes of its answer; returns the bytes to send. */
	onAnswer = (_request, bytes) => bytes;
	#running = 0;
	#queue = [];
	#sockets = new Set();
	#beats = 0;

	/** `tellsLoad` = answers carry `Server-Load`, and health probes are answered at once; otherwise a probe waits for a slot or is rejected like any other request. */
	constructor({id, service = 'orders', zone, slots = 6, queue = 24, store, ip = '127.0.0.1', tellsLoad = true}) {
		Object.assign(this, {
			id, service, zone, slots, queue, store, ip, tellsLoad,
		});
		this.state = 'ready';
	}

	async start(port = 0) {
		this.server = createServer(socket => {
			this.#serve(socket);
		});
		await new Promise(resolve => {
			this.server.listen(port, this.ip, resolve);
		});
		this.address = `${this.ip}:${this.server.address().port}`;
		this.beat();
		this.timer = setInterval(() => {
			this.beat();
		}, heartbeatMilliseconds);
	}

	beat() {
		this.#beats++;
		this.store.put(`servers/${this.id}`, {
			service: this.service, address: this.address, zone: this.zone, version: 'v1', capacity: this.slots, state: this.state, warmupLeftS: 0, seqNo: this.#beats,
		});
	}

	/** Ends like a killed process: all connections are reset, and the entry stays until it is removed. */
	crash() {
		clearInterval(this.timer);
		this.server.close();
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}
	}

	get #load() {
		return this.tellsLoad ? {'Server-Load': `${this.#running},${this.#queue.length},${this.slots},100`} : {};
	}

	#serve(socket) {
		this.#sockets.add(socket);
		socket.setNoDelay(true);
		let buffer = Buffer.alloc(0);
		let isBusy = false;
		const step = async () => {
			const message = isBusy || socket.destroyed ? undefined : takeMessage(buffer);
			if (message === undefined) {
				return;
			}

			buffer = message.rest;
			isBusy = true;
			await this.#handle(socket, message);
			isBusy = false;
			await step();
		};

		socket.on('data', async chunk => {
			buffer = Buffer.concat([buffer, chunk]);
			await step();
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.#sockets.delete(socket);
		});
	}

	async #handle(socket, {start, headers, body}) {
		const [method, path] = start.split(' ');
		const id = headers['request-id'];
		const request = {
			id, method, path, headers, body, socket, backend: this, at: Date.now(),
		};
		this.received.push(request);
		this.onReceive(request);
		const echo = id === undefined ? {} : {'Request-Id': id};
		const isProbe = path === healthPath;
		if (isProbe && this.tellsLoad) {
			this.#answerProbe(request);
			return;
		}

		if (headers['expect-instance'] !== undefined && headers['expect-instance'] !== this.id) {
			this.#send(request, {status: 421, headers: {...echo, 'Not-Executed': 'other-instance'}, body: ''});
			return;
		}

		if (this.#running >= this.slots) {
			if (this.#queue.length >= this.queue) {
				this.#send(request, {status: 503, headers: {...echo, ...this.#load, 'Not-Executed': 'full'}, body: ''});
				return;
			}

			await new Promise(resolve => {
				this.#queue.push(resolve);
			});
		}

		if (socket.destroyed) {
			this.#queue.shift()?.();
			return;
		}

		this.#running++;
		if (isProbe) {
			this.#answerProbe(request);
		} else {
			this.runs.push({
				id, path, server: this.id, at: Date.now(),
			});
			const answer = await this.onRun(request);
			if (answer !== undefined) {
				this.#send(request, {
					status: answer.status,
					body: answer.body ?? '',
					headers: {
						...echo, ...this.#load, 'Response-Signature': `signature-of-${id}`, ...answer.headers,
					},
				});
			}
		}

		this.#running--;
		this.#queue.shift()?.();
	}

	#answerProbe(request) {
		this.#send(request, {status: this.state === 'ready' ? 200 : 503, headers: {...this.#load, 'Instance-Id': this.id}, body: ''});
	}

	#send(request, {status, headers, body}) {
		const lines = [`HTTP/1.1 ${status} Status`];
		for (const [name, value] of Object.entries({...headers, 'Content-Length': Buffer.byteLength(body)})) {
			lines.push(`${name}: ${value}`);
		}

		const bytes = this.onAnswer(request, Buffer.from(`${lines.join('\r\n')}\r\n\r\n${body}`));
		if (!request.socket.destroyed) {
			request.socket.write(bytes);
		}
	}
}

/** The operator's configuration of a small deployment. */
export function configuration({version = 1, routes, services = ['orders'], limits = {}, tenants}) {
	return {
		version: `r${version}`,
		services: services.map(name => ({name, healthPath, maxConns: 240})),
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 4_000_000, headerTimeoutS: 3, idleTimeoutS: 15, ...limits,
		},
		hosts: [{
			host: 'one.example', paths: routes.map(route => ({
				name: route.prefix, type: 'safe', timeoutS: 2, sloS: 0.5, priority: 1, service: 'orders', maxAttempts: 3, ...route,
			})),
		}],
		...(tenants === undefined ? {} : {tenants}),
	};
}
