package main

// object is a JSON object.
type object = map[string]any

// key is the API key of the only tenant.
const key = "9anu6wsjnbanfqasnmgk"

// tenant is its name.
const tenant = "sese880"

func route(name, host, prefix, kind, service string, more object) object {
	r := object{
		"name": name, "host": host, "prefix": prefix, "route_type": kind, "timeout_s": 1.0, "target_latency_s": 0.2, "priority": 1,
		"service": service, "max_attempts": 2, "public": false, "affinity": false, "allowed_regions": []string{},
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

func service(name string) object {
	return object{"name": name, "health_path": "/healthz", "max_conns": 330, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 14.0}
}

func manifest(version int, routes []object, services []object, tenants []object) object {
	return object{
		"version": version, "routes": routes, "services": services,
		"limits":  object{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"tenants": tenants,
	}
}

func oneTenant() []object {
	return []object{{"name": tenant, "api_keys": []string{key}, "priority": 1, "rate_per_s": 0, "burst": 0, "allowed_regions": []string{}}}
}
