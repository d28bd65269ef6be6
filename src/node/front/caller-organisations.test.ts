import {Readable} from 'node:stream';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {request} from 'undici';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {type DeclaredOrganisations} from '../../common/organisations/organisation-directory.ts';
import {keyDigest} from '../key-digest.ts';
import {type KeyRefusal} from './types.ts';
import {startFrontend, startRawServer} from './test-utilities.test.ts';

const declared: DeclaredOrganisations = {
	organisations: new Map([['one', {name: 'one', priority: 0}]]), keyOwners: new Map([[keyDigest('k', 'utf8'), 'one']]),
};

describe('CallerServer with organisations', () => {
	let store: DisposableStore;

	beforeEach(() => {
		store = new DisposableStore();
	});

	afterEach(() => {
		store.dispose();
	});

	async function start() {
		const heads: string[] = [];
		const port = await startRawServer(store, socket => {
			socket.on('data', chunk => {
				heads.push(chunk.toString('latin1').toLowerCase());
				socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
			});
		});
		const {url, server} = await startFrontend(store, [port]);
		const refusals: KeyRefusal[] = [];
		store.add(server.onKeyRefused(refusal => refusals.push(refusal)));
		const call = async (path: string, headers: Record<string, string>) => {
			const answer = await request(`${url}${path}`, {headers});
			await answer.body.text();
			return [answer.statusCode, answer.headers['www-authenticate'], answer.headers['jaydale-outcome']];
		};

		return {
			server, heads, refusals, call, url,
		};
	}

	it('needs a key, and sends the name of the organisation instead', async () => {
		const {server, heads, refusals, call} = await start();
		server.configure(declared);
		expect(await call('/x', {})).toEqual([401, 'Bearer', 'not-run']);
		expect(await call('/x', {authorization: 'Bearer other', 'jaydale-timeout-milliseconds': 'soon'})).toEqual([401, 'Bearer', 'not-run']);
		expect([heads, refusals.map(({isKeySent, route}) => [isKeySent, route])]).toEqual([[], [[false, 'orders'], [true, 'orders']]]);
		expect(await call('/x', {authorization: 'Bearer k', 'jaydale-organisation': 'two'})).toEqual([200, undefined, 'ran']);
		expect([heads[0]!.includes('jaydale-organisation: one'), heads[0]!.includes('two'), heads[0]!.includes('authorization')]).toEqual([true, false, false]);
	});

	it('forwards credentials unchanged if no organisation is declared', async () => {
		const {server, heads, call} = await start();
		server.configure({});
		expect(await call('/x', {authorization: 'Basic x'})).toEqual([200, undefined, 'ran']);
		expect([heads[0]!.includes('authorization: basic x'), heads[0]!.includes('jaydale-organisation')]).toEqual([true, false]);
	});

	// Guards against a revoked key that stays valid on an open connection.
	it('refuses a revoked key from the next call on', async () => {
		const {server, call} = await start();
		server.configure(declared);
		expect(await call('/x', {authorization: 'Bearer k'})).toEqual([200, undefined, 'ran']);
		server.configure({...declared, keyOwners: new Map()});
		expect(await call('/x', {authorization: 'Bearer k'})).toEqual([401, 'Bearer', 'not-run']);
	});

	// Guards against a call that begins with a valid key, sends its body slowly and runs after the key was revoked.
	it('checks the key again after the body was read', async () => {
		const {server, heads, url} = await start();
		server.configure(declared);
		const answer = request(url + '/x', {
			method: 'POST', headers: {authorization: 'Bearer k'}, body: Readable.from((async function * () {
				yield 'first';
				await delay(100);
				server.configure({...declared, keyOwners: new Map()});
				yield 'second';
			})()),
		});
		const {statusCode, body} = await answer;
		await body.text();
		expect([statusCode, heads]).toEqual([401, []]);
	});
});
