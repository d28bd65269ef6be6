/** Mutual TLS between VMs. Certificate files are reloaded when they change, and errors in them are reported as typed failures. */
import {X509Certificate, createPrivateKey} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {checkServerIdentity} from 'node:tls';
import {
	type ChannelCredentials, type ChannelOptions, credentials, experimental, type ServerCredentials, ServerCredentials as Credentials,
} from '@grpc/grpc-js';
import {err, ok, type Result} from 'neverthrow';
import {failure, type Failure} from '../../common/errors/failure.ts';

export type PeerCredentialsFailureKind
	= | 'unreadable-file'
		| 'malformed-certificate'
		| 'malformed-key'
		| 'key-mismatch'
		| 'certificate-expired'
		| 'certificate-not-yet-valid'
		| 'certificate-untrusted'
		| 'certificate-wrong-address';

/** Paths of PEM files. */
export type TlsFiles = {
	readonly certificateFile: string;
	readonly keyFile: string;
	readonly authorityFile: string;
};

/** gRPC credentials of a VM as server and as client. */
export type PeerCredentials = {
	readonly server: ServerCredentials;
	/** Returns credentials for connections to one IP number; the server's certificate must be valid for that number. */
	channelTo(host: string): ChannelCredentials;
	/** Channel options that these credentials require. */
	readonly channelOptions: ChannelOptions;
	/** Checks the current content of this VM's files. */
	check(): Result<void, Failure<PeerCredentialsFailureKind>>;
};

/** Server name of all VMs: TLS forbids IP numbers as server names (RFC 6066), so the IP number is checked against the certificate separately. */
const serverName = 'vm.jaydale.internal';

/** Interval at which the files are checked for changes. */
const refreshIntervalMilliseconds = 5000;

type FileContent = Result<string, Failure<PeerCredentialsFailureKind>>;

function read(path: string, field: string): FileContent {
	try {
		return ok(readFileSync(path, 'utf8'));
	} catch {
		return err(failure('unreadable-file', `The file ${path} can't be read.`, {field}));
	}
}

function parseCertificate(text: string, field: string): Result<X509Certificate, Failure<PeerCredentialsFailureKind>> {
	try {
		return ok(new X509Certificate(text));
	} catch {
		return err(failure('malformed-certificate', 'The file contains no certificate in PEM format.', {field}));
	}
}

function checkTime(certificate: X509Certificate, now: Date, field: string): Result<X509Certificate, Failure<PeerCredentialsFailureKind>> {
	if (new Date(certificate.validTo) < now) {
		return err(failure('certificate-expired', `The certificate expired at ${certificate.validTo}.`, {field}));
	}

	return new Date(certificate.validFrom) > now
		? err(failure('certificate-not-yet-valid', `The certificate is valid only from ${certificate.validFrom}.`, {field}))
		: ok(certificate);
}

function checkKey(certificate: X509Certificate, text: string): Result<X509Certificate, Failure<PeerCredentialsFailureKind>> {
	try {
		return certificate.checkPrivateKey(createPrivateKey(text))
			? ok(certificate)
			: err(failure('key-mismatch', 'The private key does not belong to the certificate.', {field: 'peers.tls.keyFile'}));
	} catch {
		return err(failure('malformed-key', 'The file contains no private key in PEM format.', {field: 'peers.tls.keyFile'}));
	}
}

/** Checks the current content of the files. `address` is the IP number at which other VMs reach this VM. */
export function checkTlsFiles(files: TlsFiles, address: string, now: Date): Result<void, Failure<PeerCredentialsFailureKind>> {
	const authority = read(files.authorityFile, 'peers.tls.authorityFile')
		.andThen(text => parseCertificate(text, 'peers.tls.authorityFile'))
		.andThen(certificate => checkTime(certificate, now, 'peers.tls.authorityFile'));
	const certificate = read(files.certificateFile, 'peers.tls.certificateFile')
		.andThen(text => parseCertificate(text, 'peers.tls.certificateFile'))
		.andThen(own => checkTime(own, now, 'peers.tls.certificateFile'))
		.andThen(own => read(files.keyFile, 'peers.tls.keyFile').andThen(text => checkKey(own, text)));
	return authority.andThen(issuer => certificate.andThen(own => checkTrust(own, issuer, address)));
}

function checkTrust(own: X509Certificate, issuer: X509Certificate, address: string): Result<void, Failure<PeerCredentialsFailureKind>> {
	const field = 'peers.tls.certificateFile';
	if (!own.verify(issuer.publicKey)) {
		return err(failure('certificate-untrusted', 'The certificate is not signed by the authority of the other VMs.', {field}));
	}

	return own.checkIP(address) === undefined
		? err(failure('certificate-wrong-address', `The certificate is not valid for the address ${address}.`, {field}))
		: ok(undefined);
}

/**
 * Returns credentials that are reloaded from the files: new connections use a renewed certificate within seconds.
 * @param address IP number at which other VMs reach this VM
 */
export function watchTlsFiles(files: TlsFiles, address: string, intervalMilliseconds = refreshIntervalMilliseconds): PeerCredentials {
	const provider = new experimental.FileWatcherCertificateProvider({
		certificateFile: files.certificateFile,
		privateKeyFile: files.keyFile,
		caCertificateFile: files.authorityFile,
		refreshIntervalMs: intervalMilliseconds,
	});
	return {
		server: experimental.createCertificateProviderServerCredentials(provider, provider, true),
		channelTo: host => experimental.createCertificateProviderChannelCredentials(provider, provider, {
			checkServerIdentity: (_name, certificate) => checkServerIdentity(host, certificate),
		}),
		channelOptions: {'grpc.ssl_target_name_override': serverName},
		check: () => checkTlsFiles(files, address, new Date()),
	};
}

/** Returns credentials without TLS, for `peers.plain = true`. */
export function plainCredentials(): PeerCredentials {
	return {
		server: Credentials.createInsecure(),
		channelTo: () => credentials.createInsecure(),
		channelOptions: {},
		check: () => ok(undefined),
	};
}

const transportErrorPatterns: ReadonlyArray<readonly [RegExp, PeerCredentialsFailureKind, string]> = [
	[/certificate has expired/v, 'certificate-expired', 'Its certificate has expired.'],
	[/certificate is not yet valid/v, 'certificate-not-yet-valid', 'Its certificate is not yet valid.'],
	[/self.signed|unable to (?:get local issuer|verify)|unknown ca|signature failure/iv, 'certificate-untrusted', 'One of the two certificates is not signed by the authority of the other VM.'],
	[/altnames|does not match certificate/iv, 'certificate-wrong-address', 'Its certificate is not valid for the address at which it is reached.'],
];

/** Returns the certificate failure that an error of the transport describes; undefined for other errors. */
export function certificateFailure(details: string): Failure<PeerCredentialsFailureKind> | undefined {
	const match = transportErrorPatterns.find(([pattern]) => pattern.test(details));
	return match && failure(match[1], match[2]);
}
