import {execFileSync} from 'node:child_process';
import {
	copyFileSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect} from 'earl';
import fc from 'fast-check';
import {type PeerBody, type PeerMessage} from '../../common/fleet/peer-messages.ts';
import {testBackendServer, testService} from '../../common/fleet/test-utilities.test.ts';
import {GrpcPeerTransport, type PeerFailure} from './grpc-peer-transport.ts';
import {fromWire, toWire} from './peer-codec.ts';
import {
	checkTlsFiles, plainCredentials, type TlsFiles, watchTlsFiles,
} from './peer-credentials.ts';

const address = '127.0.0.1';

function message(body: PeerBody, extra: Partial<PeerMessage> = {}): PeerMessage {
	return {
		protocol: 1,
		sender: {
			identity: 'vm-a', peerAddress: '10.0.0.1:7003', callAddress: '10.0.0.1:7001', dataCentre: 'dc-1', sequence: 3,
			isLeaving: false, isServing: true, holdsShare: true, configurationVersion: 12, utilisation: 0.25,
		},
		body,
		members: [],
		leaving: [],
		updates: [],
		...extra,
	};
}

const metadata = {
	identity: 'abcdefghijklmnopqrstuv', createdAt: 1, version: 2, generation: 1,
};
const bodies: readonly PeerBody[] = [
	{type: 'ping', nonce: 1},
	{type: 'ping-answer', nonce: 0},
	{type: 'ping-request', nonce: 2, target: '10.0.0.2:7003'},
	{type: 'join'},
	{type: 'members'},
	{type: 'rumours'},
	{type: 'changes-request', after: -1},
	{
		type: 'changes',
		records: [{
			version: 2, operationId: 'operation', who: 'Ana', when: '2026-01-01T00:00:00Z', note: 'ü', mutations: [
				{type: 'put', resource: testService('orders'), metadata},
				{type: 'delete', kind: 'backend-server', name: 'a'},
			],
		}],
	},
	{
		type: 'snapshot-page', version: 2, page: 0, pages: 1, resources: [{resource: testBackendServer('a', 'orders'), metadata}], records: [],
	},
	{type: 'share-offer', slot: 0},
	{type: 'share-accept', slot: 3, nonce: 5},
	{
		type: 'share-grant', slot: 3, nonce: 5, leaseId: 'lease', revision: 0, remainingMilliseconds: 12.5,
	},
	{type: 'drain', identity: 'vm-b'},
];

/** All piggybacked fields, so that the test fails if the .proto file or the codec lacks one. */
const rumours: Required<Omit<PeerMessage, 'protocol' | 'sender' | 'body'>> = {
	storeContactAgeMilliseconds: 3,
	leavingDigest: 2_147_483_646,
	members: [{record: message({type: 'join'}).sender, verdict: 'suspected'}],
	leaving: [{identity: 'server', ageMilliseconds: 1}, {identity: 'server', instance: 'p1', ageMilliseconds: 1}],
	updates: [
		{
			identity: 'server', ageMilliseconds: 5, suspects: ['f1'], crash: 'c1',
		},
		{
			identity: 'server', ageMilliseconds: 5, suspects: ['f1'], crash: 'c1', isCrashCertain: true,
		},
		{
			identity: 'server', ageMilliseconds: 5, suspects: [], cleared: ['f1', 'f2'],
		},
		{
			identity: 'server', ageMilliseconds: 5, suspects: [], rateLimit: {process: 'server@1', callsPerSecond: 2.5, sequence: 3},
		},
		{
			identity: 'server', ageMilliseconds: 5, suspects: [], rateLimit: {process: 'server@1', sequence: 4},
		},
		{
			identity: 'server', ageMilliseconds: 5, suspects: [], report: {
				inFlight: 1, queued: 2, slots: 6, isLeaving: false,
			},
		},
	],
};

/** Replacer for `JSON.stringify` that makes the order of object members irrelevant. */
function sortedKeys(_key: string, value: unknown): unknown {
	return typeof value === 'object' && value !== null && !Array.isArray(value)
		? Object.fromEntries(Object.entries(value).toSorted(([a], [b]) => (a < b ? -1 : 1)))
		: value;
}

/** Received messages and failures of an exchange. */
type Exchanged = {readonly received: readonly PeerMessage[]; readonly failures: readonly string[]};

/** Sends messages over sockets; resolves when each has been received or has failed. */
async function exchange(receiver: GrpcPeerTransport, sender: GrpcPeerTransport, messages: readonly PeerMessage[]): Promise<Exchanged> {
	const received: PeerMessage[] = [];
	const failures: string[] = [];
	const listening = await receiver.listen();
	if (listening.isErr()) {
		receiver.dispose();
		sender.dispose();
		return {received, failures: [`cannot listen: ${listening.error.kind}`]};
	}

	const port = listening.value;
	return new Promise(resolve => {
		const finish = (): void => {
			if (received.length + failures.length >= messages.length) {
				receiver.dispose();
				sender.dispose();
				resolve({received, failures});
			}
		};

		receiver.onMessage(item => {
			received.push(item);
			finish();
		});
		sender.onFailure(({failure}: PeerFailure) => {
			failures.push(failure.kind);
			finish();
		});
		for (const item of messages) {
			sender.send(`${address}:${port}`, item);
		}
	});
}

const newKey = ['-newkey', 'ec', '-pkeyopt', 'ec_paramgen_curve:P-256', '-nodes'];

/** An authority and certificates, created once for all tests of this file. */
class TestCertificates {
	readonly folder = mkdtempSync(join(tmpdir(), 'jaydale-tls-'));

	constructor() {
		for (const name of ['ca', 'other']) {
			this._openssl('req', '-x509', ...newKey, '-subj', `/CN=${name}`, '-days', '2', '-keyout', `${name}.key`, '-out', `${name}.pem`);
		}

		this.issue('good', 'ca', '127.0.0.1', '20200101000000Z', '20990101000000Z');
		this.issue('renewed', 'ca', '127.0.0.1', '20200101000000Z', '20990101000000Z');
		this.issue('expired', 'ca', '127.0.0.1', '20200101000000Z', '20210101000000Z');
		this.issue('elsewhere', 'ca', '10.9.9.9', '20200101000000Z', '20990101000000Z');
		this.issue('stranger', 'other', '127.0.0.1', '20200101000000Z', '20990101000000Z');
	}

	files(name: string, authority = 'ca'): TlsFiles {
		return {certificateFile: this._path(`${name}.pem`), keyFile: this._path(`${name}.key`), authorityFile: this._path(`${authority}.pem`)};
	}

	issue(name: string, authority: string, ip: string, from: string, until: string): void {
		writeFileSync(this._path(`${name}.ext`), `subjectAltName=IP:${ip}\n`);
		this._openssl('req', ...newKey, '-subj', `/CN=${name}`, '-keyout', `${name}.key`, '-out', `${name}.csr`);
		// In OpenSSL 3.0 only the command `ca` accepts both dates.
		const section = ['new_certs_dir=.', 'database=index.txt', 'serial=serial', 'default_md=sha256', 'policy=p'];
		writeFileSync(this._path('ca.cnf'), ['[ca]', 'default_ca=d', '[d]', ...section, '[p]', 'commonName=supplied', ''].join('\n'));
		writeFileSync(this._path('index.txt'), '');
		writeFileSync(this._path('serial'), '01');
		const signed = ['-cert', `${authority}.pem`, '-keyfile', `${authority}.key`, '-extfile', `${name}.ext`, '-startdate', from, '-enddate', until];
		this._openssl('ca', '-batch', '-notext', '-config', 'ca.cnf', ...signed, '-in', `${name}.csr`, '-out', `${name}.pem`);
	}

	copy(from: string, to: string): void {
		for (const ending of ['pem', 'key']) {
			copyFileSync(this._path(`${from}.${ending}`), this._path(`${to}.${ending}`));
		}
	}

	dispose(): void {
		rmSync(this.folder, {recursive: true});
	}

	private _path(name: string): string {
		return join(this.folder, name);
	}

	private _openssl(...parameters: string[]): void {
		execFileSync('openssl', parameters, {cwd: this.folder, stdio: 'pipe'});
	}
}

describe('messages between VMs', () => {
	it('are transferred over gRPC with all fields and rumours, and are counted', async () => {
		const sender = new GrpcPeerTransport(`${address}:0`, plainCredentials(), () => 0);
		const receiver = new GrpcPeerTransport(`${address}:0`, plainCredentials(), () => 0);
		const messages = bodies.map((body, index) => message(body, index % 2 === 0 ? rumours : {}));
		const {received, failures} = await exchange(receiver, sender, messages);
		const byType = received.toSorted((a, b) => (a.body.type < b.body.type ? -1 : 1));
		expect(failures).toEqual([]);
		const sent = messages.toSorted((a, b) => (a.body.type < b.body.type ? -1 : 1));
		expect(byType.map(item => JSON.stringify(item, sortedKeys))).toEqual(sent.map(item => JSON.stringify(item, sortedKeys)));
		expect(sender.traffic.bytesOut).toEqual(receiver.traffic.bytesIn);
	});

	// Guards against invalid messages from VMs of an older or faulty version, or from anyone who can reach the port. If
	// accepted, they could introduce versions or members that do not exist.
	it('are rejected as a whole if any part is invalid', () => {
		fc.assert(fc.property(fc.object({maxDepth: 3}), value => {
			expect(fromWire(value).isErr()).toEqual(true);
		}), {seed: 5, numRuns: 300});
		const good = toWire(message({type: 'ping', nonce: 1}));
		expect([
			fromWire({...good, body: 'ping'}).isOk(),
			fromWire({...good, body: 'ping', protocol: 2}).isOk(),
			fromWire({...good, body: 'ping', sender: {...message({type: 'join'}).sender, utilisation: 7}}).isOk(),
			fromWire({body: 'changes', ...good, changes: {records: ['{']}}).isOk(),
		]).toEqual([true, false, false, false]);
	});

	describe('with TLS', () => {
		let certificates: TestCertificates;

		before(() => {
			certificates = new TestCertificates();
		});

		after(() => {
			certificates.dispose();
		});

		// Guards against unexplained failures when a certificate expires or is issued incorrectly: without the file and the
		// reason, an operator sees only VMs that consider one another dead.
		it('reports the error in the files of this VM', function () {
			const now = new Date();
			const kinds = Object.fromEntries(['good', 'expired', 'elsewhere', 'stranger', 'missing'].map(name => {
				const checked = checkTlsFiles(certificates.files(name), address, now);
				return [name, checked.isErr() ? `${checked.error.kind} ${checked.error.field.unwrapOr('')}` : 'fine'];
			}));
			const mixed = {...certificates.files('good'), keyFile: certificates.files('renewed').keyFile};
			expect({...kinds, mixed: checkTlsFiles(mixed, address, now)._unsafeUnwrapErr().kind}).toMatchSnapshot(this);
		});

		it('transfers messages only between VMs with certificates of one authority, and reports the error otherwise', async function () {
			const outcomes: Record<string, unknown> = {};
			const run = async (name: string, receiverFiles: TlsFiles, senderFiles: TlsFiles | undefined, ownAddress = address): Promise<void> => {
				const receiver = new GrpcPeerTransport(`${address}:0`, watchTlsFiles(receiverFiles, ownAddress), () => 0);
				const sender = new GrpcPeerTransport(`${address}:0`, senderFiles ? watchTlsFiles(senderFiles, address) : plainCredentials(), () => 0);
				const {received, failures} = await exchange(receiver, sender, [message({type: 'ping', nonce: 1})]);
				outcomes[name] = {received: received.length, troubles: failures};
			};

			await run('good', certificates.files('good'), certificates.files('good'));
			await run('expired server', certificates.files('expired'), certificates.files('good'));
			await run('expired client', certificates.files('good'), certificates.files('expired'));
			await run('stranger as server', certificates.files('stranger'), certificates.files('good'));
			await run('stranger as client', certificates.files('good'), certificates.files('stranger'));
			// The receiver's files are valid for its own address setting, but not for the address to which the sender connects.
			await run('other address', certificates.files('elsewhere'), certificates.files('good'), '10.9.9.9');
			await run('plain client', certificates.files('good'), undefined);
			expect(outcomes).toMatchSnapshot(this);
		});

		// Guards against a restart of every VM for a renewed certificate: the files must be read again before the old one expires.
		it('uses renewed files without a restart', async () => {
			certificates.copy('good', 'live');
			const files = certificates.files('live');
			const receiver = new GrpcPeerTransport(`${address}:0`, watchTlsFiles(files, address, 20), () => 0);
			const listening = await receiver.listen();
			const sendOnce = async (): Promise<string> => new Promise(resolve => {
				const sender = new GrpcPeerTransport(`${address}:0`, watchTlsFiles(certificates.files('good'), address), () => 0);
				const finish = (result: string): void => {
					sender.dispose();
					listener.dispose();
					resolve(result);
				};

				const listener = receiver.onMessage(() => {
					finish('received');
				});
				sender.onFailure(({failure}) => {
					finish(failure.kind);
				});
				sender.send(`${address}:${listening.unwrapOr(0)}`, message({type: 'join'}));
			});
			const waitFor = async (expected: string): Promise<void> => {
				let result = await sendOnce();
				while (result !== expected) {
					result = await sendOnce();
				}
			};

			await waitFor('received');
			certificates.copy('expired', 'live');
			await waitFor('certificate-expired');
			certificates.copy('renewed', 'live');
			await waitFor('received');
			receiver.dispose();
		});
	});
});
