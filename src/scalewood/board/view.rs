//! The configuration in the form that request handling needs: indexed, with compiled policies.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use crate::core::{claim, config, dispatch, name, policy, region, registry, route, secret, unit};

/// A revision of the configuration, with indexes.
#[derive(Debug, Default)]
pub struct View {
    /// The revision.
    pub revision: unit::Revision,
    /// The document.
    pub document: Arc<config::Document>,
    teams: HashMap<secret::Hash, name::Team>,
    models: HashMap<String, name::Service>,
    programs: HashMap<name::Service, policy::Program>,
    /// The indexed routes.
    pub routes: route::Table,
}

impl View {
    /// Builds the indexes of a revision.
    pub fn new(revision: unit::Revision, document: Arc<config::Document>) -> Self {
        let teams = document
            .teams
            .iter()
            .map(|(name, team)| (team.token_hash, name.clone()));
        let teams = teams.collect();
        let models = document.services.iter().flat_map(|(name, service)| {
            service
                .models
                .iter()
                .map(|model| (model.to_string(), name.clone()))
        });
        let models = models.collect();
        let compile = |policy: &config::Policy| policy::Program::compile(&policy.program).ok();
        let programs = document.policies.values();
        let programs = programs.filter_map(|p| Some((p.service.clone(), compile(p)?)));
        let programs = programs.collect();
        let routes = document.routing.as_deref().map(route::Table::new);
        let routes = routes.unwrap_or_default();
        Self {
            revision,
            document,
            teams,
            models,
            programs,
            routes,
        }
    }

    /// Returns whether nothing is configured yet. Zones may be cordoned before that.
    pub fn is_unconfigured(&self) -> bool {
        self.revision == unit::Revision(0) || self.document.is_empty()
    }

    /// Returns the team to which a token belongs.
    pub fn team(&self, token: &str) -> Option<(&name::Team, &config::Team)> {
        let name = self.teams.get(&secret::Hash::of(token))?;
        self.document.teams.get_key_value(name)
    }

    /// Returns the service that serves a model.
    pub fn service_of(&self, model: &str) -> Option<&name::Service> {
        self.models.get(model)
    }

    /// Returns the policy program of a service, if it has one that compiles.
    pub fn program(&self, service: &name::Service) -> Option<&policy::Program> {
        self.programs.get(service)
    }

    /// Returns the configured endpoints of a service in a zone.
    pub fn endpoints<'a>(
        &'a self,
        service: &'a name::Service,
        zone: &'a name::Zone,
    ) -> impl Iterator<Item = (&'a name::Endpoint, &'a config::Endpoint)> {
        let endpoints = self.document.endpoints.iter();
        endpoints.filter(move |(_, e)| e.service == *service && e.zone == *zone)
    }

    /// Returns the input that configures the dispatcher of a service in a zone: the configured
    /// endpoints in that zone, the registered ones of all zones, and the classes.
    pub fn configure_input(
        &self,
        service: &name::Service,
        zone: &name::Zone,
        registry: &registry::Registry,
        regions: &region::Map,
    ) -> dispatch::Input {
        let registered = registry
            .records_with_slowness()
            .filter(|(record, _)| record.service == *service);
        let memory = self.memory(service);
        let displaced = registry.displaced();
        let registered = interleave_zones(registered.collect())
            .into_iter()
            .enumerate();
        let registered = registered.map(|(rank, (record, slow))| dispatch::Spec {
            rank,
            slow,
            memory,
            ..self.spec(record, displaced.contains(&record.name), zone, regions)
        });
        let specs = self
            .endpoints(service, zone)
            .map(|(name, endpoint)| dispatch::Spec {
                name: name.clone(),
                slots: endpoint.slots.0,
                leaving: endpoint.leaving,
                in_other_zone: false,
                rank: 0,
                zone: endpoint.zone.clone(),
                slow: false,
                memory: None,
                admission: dispatch::Admission {
                    build: endpoint.build.clone(),
                    ..self.admission(&endpoint.zone, regions)
                },
            });
        let specs = specs.chain(registered);
        let classes = self.document.classes_of(service);
        let classes: BTreeMap<_, _> = classes
            .map(|(key, class)| (key.class.clone(), self.with_rank(class)))
            .collect();
        dispatch::Input::Configure(specs.collect(), classes)
    }

    /// Returns the input that tells the dispatcher of a service in a zone which registered
    /// endpoints changed or were removed after a stamp of the registry.
    pub fn changed_input(
        &self,
        service: &name::Service,
        zone: &name::Zone,
        registry: &registry::Registry,
        after: u64,
        regions: &region::Map,
    ) -> dispatch::Input {
        let changed = registry.affected_since(after);
        let known = changed
            .iter()
            .filter_map(|name| registry.get_with_slowness(name));
        let known = known.filter(|(record, _)| record.service == *service);
        let memory = self.memory(service);
        let specs = known.map(|(record, slow)| {
            let displaced = registry.displaced_by(&record.name).is_some();
            dispatch::Spec {
                slow,
                memory,
                ..self.spec(record, displaced, zone, regions)
            }
        });
        let specs = specs.collect();
        let gone = changed.iter().filter(|name| registry.get(name).is_none());
        dispatch::Input::EndpointsChanged(specs, gone.cloned().collect())
    }

    /// Returns the KV cache capacity of a service's endpoints, in tokens, if configured.
    fn memory(&self, service: &name::Service) -> Option<unit::Tokens> {
        let routing = self.document.routing.as_deref()?;
        routing.services.get(service)?.memory
    }

    /// Returns the specification of a registered endpoint for a dispatcher of a zone. The caller
    /// sets whether the endpoint is slow, its memory, and, if all endpoints are configured at once,
    /// its rank.
    fn spec(
        &self,
        record: &registry::Record,
        displaced: bool,
        zone: &name::Zone,
        regions: &region::Map,
    ) -> dispatch::Spec {
        dispatch::Spec {
            name: record.name.clone(),
            slots: record.slots.0,
            leaving: record.state != registry::State::Ready || displaced,
            in_other_zone: record.zone != *zone,
            rank: usize::MAX,
            zone: record.zone.clone(),
            slow: false,
            memory: None,
            admission: dispatch::Admission {
                incarnation: record.incarnation,
                build: record.build.clone(),
                ..self.admission(&record.zone, regions)
            },
        }
    }

    /// Returns a class with a tier that dispatchers can compare with requests. If there are routes,
    /// requests carry a rank in place of a tier, so the class gets its least urgent rank.
    fn with_rank(&self, class: &config::Class) -> config::Class {
        let tier = match self.document.routing {
            Some(_) => self.routes.lowest_rank(class.tier),
            None => class.tier,
        };
        config::Class {
            tier,
            ..class.clone()
        }
    }

    /// Returns the restrictions on sending new requests to the endpoints of a zone.
    fn admission(&self, zone: &name::Zone, regions: &region::Map) -> dispatch::Admission {
        dispatch::Admission {
            cordoned: self.document.cordoned.contains(zone),
            region: regions.region_of(zone).cloned(),
            ..dispatch::Admission::default()
        }
    }

    /// Returns the configured boxes with their zones.
    pub fn box_zones(&self) -> BTreeMap<name::Box, name::Zone> {
        let boxes = self.document.boxes.iter();
        boxes
            .map(|(name, item)| (name.clone(), item.zone.clone()))
            .collect()
    }

    /// Returns the configured boxes of a zone.
    pub fn boxes_of<'a>(&'a self, zone: &'a name::Zone) -> impl Iterator<Item = &'a name::Box> {
        let boxes = self.document.boxes.iter();
        boxes
            .filter(move |(_, item)| item.zone == *zone)
            .map(|(name, _)| name)
    }

    /// Returns the boxes that hold the claims of a key.
    pub fn holders(&self, key: claim::Key) -> Vec<name::Box> {
        claim::holders(key, &self.box_zones())
    }
}

/// Sorts endpoints into an order that is the same at all boxes and alternates between zones: the
/// first endpoint of each zone, then the second, and so on. Each flag tells whether the endpoint is
/// slow.
fn interleave_zones(mut graded: Vec<(&registry::Record, bool)>) -> Vec<(&registry::Record, bool)> {
    graded.sort_by_key(|(record, _)| (&record.zone, &record.name));
    let mut counts: BTreeMap<&name::Zone, usize> = BTreeMap::new();
    let mut numbered: Vec<_> = graded
        .into_iter()
        .map(|(record, slow)| {
            let position = counts.entry(&record.zone).or_default();
            *position += 1;
            (*position, record, slow)
        })
        .collect();
    numbered.sort_by_key(|(position, record, _)| (*position, &record.zone));
    let numbered = numbered.into_iter();
    numbered.map(|(_, record, slow)| (record, slow)).collect()
}
